package heartbeat

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that they are repeatable;
// -rapid.seed=0 draws a random one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
