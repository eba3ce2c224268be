package control

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/demo"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

var sampleProgress = demo.Progress{
	Elapsed: 12400 * time.Millisecond,
	Events:  []string{"an endpoint leaves", "the configuration changes"},
	Kinds: []demo.KindProgress{
		{Tenant: "bennani", Kind: "case-look-up", Calls: 700, Ran: 699, NotRun: 1, Reasons: map[string]int64{"LW2002": 1}},
		{Tenant: "platform", Kind: "crashing", Calls: 120, NotRun: 114, Open: 6, Reasons: map[string]int64{"LW2010": 114, "LW3004": 6}},
	},
}

// TestProgressText is what a newcomer sees while a demo runs.
func TestProgressText(t *testing.T) {
	golden.Assert(t, progressText(sampleProgress), "demo-progress.golden")
}

// TestScreenReplacesTable on a terminal, and writes one after the other elsewhere.
func TestScreenReplacesTable(t *testing.T) {
	var terminal, file bytes.Buffer
	one, other := &screen{out: &terminal, terminal: true}, &screen{out: &file}
	for range 2 {
		one.show(sampleProgress)
		other.show(sampleProgress)
	}
	assert.Equal(t, strings.Count(terminal.String(), "\x1b[4A\x1b[J"), 1)
	assert.Assert(t, !strings.Contains(file.String(), "\x1b"))
	assert.Equal(t, strings.Count(file.String(), "case-look-up"), 2)
}
