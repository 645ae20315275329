package wal_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests to make their results reproducible.
// Use -rapid.seed=0 for a random seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
