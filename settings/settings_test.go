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
	assert.Equal(t, len(files), 5)
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

// TestPlatformNeedsNoPeers: with the platform's discovery, what only balancers
// need that talk to one another may be left out.
func TestPlatformNeedsNoPeers(t *testing.T) {
	s, err := settings.Parse("f", []byte(`{"id": "vm-1", "zone": "medina", "listen": "127.0.0.1:1", "admin": "127.0.0.1:2",
		"discovery": {"kind": "platform", "url": "http://127.0.0.1:3"}, "retries": {"ratio": 0.2, "burst": 64, "window": "10s"}}`))
	assert.NilError(t, err)
	assert.Equal(t, s.Discovery.Kind, settings.Platform)
	assert.Equal(t, s.Retries.Window, 10*time.Second)
	assert.Equal(t, s.LogRate, 200)
}

// TestStopFitsItsGrace: a planned stop ends before the process is killed.
func TestStopFitsItsGrace(t *testing.T) {
	long := settings.Stop{Notice: 3 * time.Second, Limit: time.Hour}
	assert.Equal(t, long.Within(), long, "without a grace nothing is shortened")
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 6 * time.Second, time.Minute} {
		long.Grace = grace
		got := long.Within()
		assert.Assert(t, got.Notice <= 3*time.Second && got.Limit > 0)
		assert.Assert(t, got.Notice+got.Limit < grace, "%v: %v and %v", grace, got.Notice, got.Limit)
	}
}
