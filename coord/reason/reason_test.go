package reason_test

import (
	"os"
	"testing"

	"github.com/lotuswing/lotuswing/coord/reason"
	"gotest.tools/v3/assert"
)

// TestPageMatchesTable: docs/REASONS.md is up to date with Table.
func TestPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/REASONS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), reason.Markdown())
}

// TestTableIsComplete: Table has each code once, in ascending order, completely documented and with
// an error status.
func TestTableIsComplete(t *testing.T) {
	previous := reason.Code("")
	for _, d := range reason.Table {
		assert.Assert(t, d.Code > previous, "%s after %s", d.Code, previous)
		assert.Assert(t, d.Title != "" && d.Text != "" && d.Action != "" && d.Since != "" && d.Severity != "", d.Code)
		assert.Assert(t, d.Status >= 400 && d.Status < 600, d.Code)
		previous = d.Code
	}
	_, ok := reason.Lookup("LW0000")
	assert.Assert(t, !ok)
}
