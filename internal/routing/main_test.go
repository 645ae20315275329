package routing

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed default seed for the property tests, so that runs are
// reproducible; -rapid.seed=0 uses a random one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
