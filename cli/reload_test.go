package cli

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/settings"
	"gotest.tools/v3/assert"
)

// fakeServer remembers what it was given.
type fakeServer struct {
	limits []retry.WindowLimit
	stops  []settings.Stop
}

func (f *fakeServer) SetRetryLimit(limit retry.WindowLimit) { f.limits = append(f.limits, limit) }
func (f *fakeServer) SetStop(next settings.Stop)            { f.stops = append(f.stops, next) }

const settingsText = `{"id": "vm-1", "zone": %q, "listen": "127.0.0.1:1", "admin": "127.0.0.1:2", "log_level": %q,
	"discovery": {"kind": "platform", "url": "http://127.0.0.1:3"}, "retries": {"ratio": %v, "burst": 64, "window": "10s"}}`

// TestReload: what can change without a restart does, what cannot is told, and
// wrong settings change nothing.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.jsonc")
	write := func(zone, level string, ratio float64) {
		assert.NilError(t, os.WriteFile(file, fmt.Appendf(nil, settingsText, zone, level, ratio), 0o600))
	}
	write("medina", "info", 0.2)
	current, err := settings.Load(file)
	assert.NilError(t, err)
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out, Level: hclog.Info})
	server := &fakeServer{}
	r := &reloader{file: file, current: current, log: log, server: server}
	r.seen, err = os.ReadFile(file)
	assert.NilError(t, err)

	r.read(false)
	assert.Equal(t, out.String(), "", "nothing has changed")
	write("medina", "warn", 0.1)
	r.read(false)
	assert.Equal(t, len(server.limits), 1)
	assert.Equal(t, server.limits[0].Ratio, 0.1*0.85, "a process keeps to 0.85 of the ratio, see retry.ProcessLimit")
	assert.Equal(t, log.GetLevel(), hclog.Warn)
	write("medina", "info", 7)
	r.read(false)
	assert.Assert(t, strings.Contains(out.String(), "retries.ratio: is 7"), out.String())
	assert.Equal(t, len(server.limits), 1, "wrong settings change nothing")
	write("elsewhere", "info", 0.1)
	r.read(true)
	assert.Assert(t, strings.Contains(out.String(), "needs_restart=true"), out.String())
}

func TestChangedStopIsInForceWithoutRestart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.jsonc")
	write := func(stop string) {
		text := strings.Replace(fmt.Sprintf(settingsText, "medina", "info", 0.2), "{", `{"stop": `+stop+`, `, 1)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	}
	write(`{"notice": "3s", "grace": "30s"}`)
	current, err := settings.Load(file)
	assert.NilError(t, err)
	var out bytes.Buffer
	server := &fakeServer{}
	r := &reloader{file: file, current: current, log: hclog.New(&hclog.LoggerOptions{Output: &out}), server: server}
	r.read(true)
	assert.Equal(t, len(server.stops), 0, "nothing has changed")
	write(`{"notice": "1s", "grace": "6s"}`)
	r.read(false)
	r.read(true)
	assert.DeepEqual(t, server.stops, []settings.Stop{{Notice: time.Second, Limit: time.Hour, Grace: 6 * time.Second}})
	assert.Assert(t, !strings.Contains(out.String(), "needs_restart=true"), out.String())
}
