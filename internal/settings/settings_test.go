package settings_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/limits"
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

func TestPlanHasTheLimitsThatAreSet(t *testing.T) {
	s := parse(t, "--max-caller-connections", "77", "--head-timeout", "4s", "--memory-mb", "96", "--max-descriptors", "500")
	p := s.Plan()
	require.Equal(t, 77, p.Callers.Connections)
	require.Equal(t, 4*time.Second, p.Callers.HeadTimeout)
	require.Equal(t, 96<<20/5, p.Callers.Bytes)
	require.Equal(t, 37, p.Instances.Connections)
	require.Zero(t, p.Callers.BodyTimeout, "bodies that are passed on may be of any size")
	j := &settings.Jobs{BodyTimeout: 7 * time.Second, Limits: settings.Limits{RequestMemoryMB: 3}}
	p = j.Plan(limits.Machine{})
	require.Equal(t, 7*time.Second, p.Callers.BodyTimeout)
	require.Equal(t, 3<<20, p.Callers.Bytes)
	require.Equal(t, limits.NewPlan(limits.Machine{}).Callers.Connections, p.Callers.Connections)
}

func TestLimitsAreChecked(t *testing.T) {
	var e *settings.Error
	require.ErrorAs(t, (&settings.Jobs{Log: settings.Log{LogLevel: "info"}, Limits: settings.Limits{MinBodyRate: -1, AnswerTimeout: -1}, BodyTimeout: -1}).Check(), &e)
	require.Len(t, e.Findings, 3)
	require.NoError(t, (&settings.Jobs{Log: settings.Log{LogLevel: "info"}}).Check())
}
