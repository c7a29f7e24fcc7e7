package routing_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the models, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20261203")
		_ = flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}
