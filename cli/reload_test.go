package cli

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/settings"
	"gotest.tools/v3/assert"
)

// fakeRetryLimiter remembers the bounds that it was given.
type fakeRetryLimiter struct{ limits []retry.WindowLimit }

func (f *fakeRetryLimiter) SetRetryLimit(limit retry.WindowLimit) { f.limits = append(f.limits, limit) }

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
	server := &fakeRetryLimiter{}
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
