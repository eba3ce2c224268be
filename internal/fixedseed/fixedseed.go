// Package fixedseed gives generated tests the same seed at each run, so that they have
// the same verdict. It is for tests alone.
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

// seed is that of all generated tests.
const seed = "20261202"

// Run runs a package's tests with the seed and ends the process. The package's tests must
// link rapid, which declares the flag.
func Run(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
