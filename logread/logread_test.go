package logread_test

import (
	"strings"
	"testing"

	"github.com/lotuswing/lotuswing/logread"
	"gotest.tools/v3/assert"
)

const marked = `   1.0 vm-1 2026-05-01T00:00:01.000Z [INFO]  lotuswing.directory: endpoint: id=e-1 service=s state=ejected request=r0
   1.0 vm-2 2026-05-01T00:00:01.000Z [INFO]  lotuswing.directory: endpoint: id=e-1 service=s state=leaving
   1.1 vm-1 2026-05-01T00:00:01.100Z [INFO]  lotuswing.directory: endpoint: id=e-9 service=s state=leaving
   1.2 vm-1 2026-05-01T00:00:01.200Z [WARN]  lotuswing.directory: store lost: call=watch error="EOF"
   1.3 vm-1 2026-05-01T00:00:01.300Z [INFO]  lotuswing.request: admitted: request=r1 route=a
   1.3 vm-1 2026-05-01T00:00:01.300Z [INFO]  lotuswing.request: admitted: request=r2 route=a
   1.3 vm-1 2026-05-01T00:00:01.300Z [INFO]  lotuswing.request: chosen: request=r1 attempt=1 endpoint=e-1
   1.4 vm-1 2026-05-01T00:00:01.400Z [INFO]  lotuswing.request: ended: request=r1 verdict=may-have-run message="it failed"
   9.9 vm-1 2026-05-01T00:00:09.900Z [INFO]  lotuswing.directory: store regained
`

// TestStoryWithItsBeliefs: the request's lines in order, what its own process
// believed of the endpoints it met, and nothing of others.
func TestStoryWithItsBeliefs(t *testing.T) {
	parts, err := logread.Find("r1", []logread.Source{{Name: "all.log", Log: strings.NewReader(marked)}}, logread.Options{})
	assert.NilError(t, err)
	assert.Equal(t, len(parts), 1)
	assert.Equal(t, parts[0].Process, "vm-1")
	var told []string
	for _, l := range parts[0].Lines {
		_, text, _ := strings.Cut(l.Text, "]  lotuswing.")
		told = append(told, text)
	}
	assert.DeepEqual(t, told, []string{
		"directory: endpoint: id=e-1 service=s state=ejected request=r0",
		`directory: store lost: call=watch error="EOF"`,
		"request: admitted: request=r1 route=a",
		"request: chosen: request=r1 attempt=1 endpoint=e-1",
		`request: ended: request=r1 verdict=may-have-run message="it failed"`,
	})
}

// TestClocksThatDiffer do not mix the parts of several processes.
func TestClocksThatDiffer(t *testing.T) {
	ahead := "2031-01-01T00:00:00.000Z [INFO]  lotuswing.request: ended: request=r1 status=503\n"
	parts, err := logread.Find("r1", []logread.Source{
		{Name: "vm-9.log", Log: strings.NewReader(ahead)}, {Name: "all.log", Log: strings.NewReader(marked)},
	}, logread.Options{})
	assert.NilError(t, err)
	assert.Equal(t, len(parts), 2)
	assert.Equal(t, parts[0].Source, "vm-9.log")
	assert.Equal(t, len(parts[0].Lines), 1)
}

// TestUnknownRequest has no parts.
func TestUnknownRequest(t *testing.T) {
	parts, err := logread.Find("r9", []logread.Source{{Name: "all.log", Log: strings.NewReader(marked)}}, logread.Options{})
	assert.NilError(t, err)
	assert.Equal(t, len(parts), 0)
}

// TestValue reads fields with and without quotes.
func TestValue(t *testing.T) {
	line := `x: ended: request=r1 message="host \"a\" has none" status=404`
	assert.Equal(t, logread.Value(line, "request"), "r1")
	assert.Equal(t, logread.Value(line, "status"), "404")
	assert.Equal(t, logread.Value(line, "message"), `host "a" has none`)
	assert.Equal(t, logread.Value(line, "absent"), "")
}
