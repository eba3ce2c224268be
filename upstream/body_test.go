package upstream_test

import (
	"io"
	"strings"
	"testing"

	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
)

func TestAttemptDoesNotSkipWhatAnEarlierOneRead(t *testing.T) {
	r, w := io.Pipe()
	go func() {
		for _, part := range []string{"abcd", "efgh", "ijkl"} {
			_, _ = io.WriteString(w, part)
		}
	}()
	b := upstream.NewBody(r, 4)
	earlier, later := b.Attempt(), b.Attempt()
	p := make([]byte, 4)
	for _, a := range []io.Reader{earlier, later, earlier} {
		_, err := io.ReadFull(a, p)
		assert.NilError(t, err)
	}
	assert.NilError(t, earlier.Close())
	n, err := later.Read(p)
	assert.Assert(t, err != nil, "read %q behind abcd", p[:n])
}

func TestReleasedBodyIsNotRead(t *testing.T) {
	b := upstream.NewBody(strings.NewReader("text"), 1<<10)
	b.Release(nil)
	p := make([]byte, 4)
	n, err := b.Attempt().Read(p)
	assert.Assert(t, err != nil, "read %q", p[:n])
}
