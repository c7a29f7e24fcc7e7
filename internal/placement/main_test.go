package placement_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets default values for the seed, checks and steps of the model test, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for k, v := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "1500", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		f := flag.Lookup(k)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
