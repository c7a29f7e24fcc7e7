package limits_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/limits"
)

var update = flag.Bool("update", false, "write the golden files")

func TestPlans(t *testing.T) {
	for name, m := range map[string]limits.Machine{
		"default": {},
		"small":   {MemoryBytes: 96 << 20, Descriptors: 500},
		"tiny":    {MemoryBytes: 1 << 20, Descriptors: 10},
		"large":   {MemoryBytes: 8 << 30, Descriptors: 65536},
	} {
		b, err := json.MarshalIndent(limits.NewPlan(m), "", "  ")
		require.NoError(t, err)
		f := filepath.Join("testdata", name+".json")
		if *update {
			require.NoError(t, os.MkdirAll("testdata", 0o750))
			require.NoError(t, os.WriteFile(f, append(b, '\n'), 0o600))
		}
		golden, err := os.ReadFile(f)
		require.NoError(t, err)
		require.Equal(t, string(golden), string(b)+"\n", name)
	}
}

// Descriptors and memory are left for the process itself, however many clients there are.
func TestPlanLeavesRoomForTheProcess(t *testing.T) {
	for _, m := range []limits.Machine{{MemoryBytes: 284 << 20, Descriptors: 4100}, {MemoryBytes: 96 << 20, Descriptors: 500}, {MemoryBytes: 1 << 30, Descriptors: 20000}} {
		p := limits.NewPlan(m)
		require.Less(t, p.Callers.Connections+p.Instances.Connections+3*p.Operators.Connections, (m.Descriptors-200)*5/8)
		kernel := (p.Callers.Connections + 2*p.Operators.Connections) * 2 * p.Callers.ReceiveBufferBytes
		require.Less(t, p.Callers.Bytes+p.Instances.Bytes+2*p.Operators.Bytes, p.HeapBytes)
		require.LessOrEqual(t, p.HeapBytes+kernel, m.MemoryBytes)
	}
}
