package systemtest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRecordedTraceReplays records the home's decisions under load and makes
// them again.
func TestRecordedTraceReplays(t *testing.T) {
	f := bennaniFleet(t)
	home, _ := f.homeOf("bennani/petitions")
	c := f.startCallers(60, f.balancers...)
	c.more(50)
	trace := get("http://" + home.admin + "/trace?service=bennani/petitions&for=700ms")
	assert.NilError(t, trace.err)
	assert.Assert(t, strings.Count(trace.body, `"op":"acquire"`) > 10, trace.body)
	file := filepath.Join(t.TempDir(), "trace.jsonl")
	assert.NilError(t, os.WriteFile(file, []byte(trace.body), 0o600))
	if keep := os.Getenv("LOTUSWING_KEEP_TRACE"); keep != "" {
		assert.NilError(t, os.WriteFile(keep, []byte(trace.body), 0o600))
	}
	out, code := ctl(t, "replay", file)
	assert.Equal(t, code, 0, tail(out))
	assert.Assert(t, strings.Contains(out, " 0 differ"))
	c.check()

	changed := strings.Replace(trace.body, `"Kind":0`, `"Kind":2`, 1)
	assert.NilError(t, os.WriteFile(file, []byte(changed), 0o600))
	out, code = ctl(t, "replay", file)
	assert.Equal(t, code, 1, tail(out))
	assert.Assert(t, strings.Contains(out, " 1 differ"))
}
