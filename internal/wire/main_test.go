package wire

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed for reproducible results; -rapid.seed=0
// draws a random one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
