package reason_test

import (
	"os"
	"testing"

	"github.com/lotuswing/lotuswing/coord/reason"
	"gotest.tools/v3/assert"
)

// TestPageIsGenerated: docs/REASONS.md is what the table says.
func TestPageIsGenerated(t *testing.T) {
	page, err := os.ReadFile("../../docs/REASONS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), reason.Markdown())
}

// TestTableIsComplete: every code is documented once, in order.
func TestTableIsComplete(t *testing.T) {
	last := reason.Code("")
	for _, d := range reason.Table {
		assert.Assert(t, d.Code > last, "%s after %s", d.Code, last)
		assert.Assert(t, d.Title != "" && d.Text != "" && d.Action != "" && d.Since != "" && d.Severity != "", d.Code)
		assert.Assert(t, d.Status >= 400 && d.Status < 600, d.Code)
		last = d.Code
	}
	_, ok := reason.Lookup("LW0000")
	assert.Assert(t, !ok)
}
