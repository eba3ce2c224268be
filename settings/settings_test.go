package settings_test

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/settings"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestFaultsAreNamed: all faults of a file in one run, each with its place.
func TestFaultsAreNamed(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonc")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 3)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			_, err := settings.Load(file)
			assert.Assert(t, err != nil)
			golden.Assert(t, err.Error()+"\n", strings.TrimSuffix(filepath.Base(file), ".jsonc")+".golden")
		})
	}
}

// TestExampleIsValid and has the defaults of what it leaves out.
func TestExampleIsValid(t *testing.T) {
	s, err := settings.Load("../examples/balancer.jsonc")
	assert.NilError(t, err)
	assert.Equal(t, s.Zone, "medina")
	assert.Equal(t, s.Stop.Notice, 2*time.Second)
	assert.Equal(t, s.Limits.HeaderTimeout, 10*time.Second)
}

// FuzzParse: no input makes the parser panic, and a fault always has a place.
func FuzzParse(f *testing.F) {
	f.Add(`{"id": "vm-1"}`)
	f.Add(`{"stop": {"notice": "1s"}, // c` + "\n}")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := settings.Parse("f", []byte(text))
		if err != nil && !strings.HasPrefix(err.Error(), "f:") {
			t.Fatalf("no place in %q", err)
		}
	})
}
