package directory_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of generated tests, so that each run has the same
// verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
