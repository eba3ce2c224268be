// Package fixedseed gives property-based tests the same seed on every run, so that their
// results are reproducible. Only tests use it.
//
// # Usage
//
//	func TestMain(m *testing.M) { fixedseed.Run(m) }
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// seed is the value of the flag rapid.seed for all property-based tests.
const seed = "20261202"

// Run runs a package's tests with the fixed seed and exits the process. The test binary must
// import rapid, which declares the flag rapid.seed; Run panics otherwise.
func Run(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
