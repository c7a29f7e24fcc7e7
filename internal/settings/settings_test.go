package settings_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/settings"
)

var update = flag.Bool("update", false, "write docs/SETTINGS.md")

// TestSettingsDocument fails if docs/SETTINGS.md differs from the text that is generated from the structs.
func TestSettingsDocument(t *testing.T) {
	f := filepath.Join("..", "..", "docs", "SETTINGS.md")
	if *update {
		require.NoError(t, os.WriteFile(f, []byte(settings.Markdown()), 0o600))
	}
	b, err := os.ReadFile(f)
	require.NoError(t, err)
	require.Equal(t, settings.Markdown(), string(b), "run make docs")
}

// parse returns the Serve settings for the given command-line arguments.
func parse(t *testing.T, args ...string) *settings.Serve {
	t.Helper()
	s := &settings.Serve{}
	p, err := arg.NewParser(arg.Config{}, s)
	require.NoError(t, err)
	require.NoError(t, p.Parse(args))
	return s
}

func TestDefaultsNeedCredentialsUnlessInsecure(t *testing.T) {
	require.NoError(t, parse(t, "--name", "a", "--failure-domain", "d", "--insecure").Check())
	var e *settings.Error
	require.ErrorAs(t, parse(t, "--name", "a", "--failure-domain", "d").Check(), &e)
	require.Len(t, e.Findings, 4, "certificates and tokens are required unless --insecure is given")
}

func TestCheckReportsAllFindings(t *testing.T) {
	t.Setenv("CURRANTKNOT_PLATFORM", "nowhere")
	s := parse(t, "--caller-listen", "7401", "--routing-policy", "best", "--lease", "1s", "--heartbeat-every", "1h", "--insecure")
	var e *settings.Error
	require.ErrorAs(t, s.Check(), &e)
	var names []string
	for _, f := range e.Findings {
		require.NotEmpty(t, f.Variable)
		names = append(names, f.Flag)
	}
	require.Equal(t, []string{"--name", "--failure-domain", "--caller-listen", "--platform", "--heartbeat-every", "--lease", "--routing-policy"}, names)
}

func TestPlatformAndOperatorSettingsAreChecked(t *testing.T) {
	var e *settings.Error
	require.ErrorAs(t, (&settings.Platform{}).Check(), &e)
	require.GreaterOrEqual(t, len(e.Findings), 5)
	require.ErrorAs(t, (&settings.Operator{Instance: "x", Timeout: time.Second}).Check(), &e)
	require.Len(t, e.Findings, 1)
}
