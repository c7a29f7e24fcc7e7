package routing_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the model tests, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20261203")
		_ = flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}
