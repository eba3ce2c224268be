package upstream_test

import (
	"errors"
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

func TestReleaseEndsReads(t *testing.T) {
	r, w := io.Pipe()
	b := upstream.NewBody(r, 1<<10)
	a := b.Attempt()
	read := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(a)
		read <- err
	}()
	_, err := io.WriteString(w, "kept")
	assert.NilError(t, err)
	interrupted := errors.New("interrupted")
	b.Release(func() { _ = w.CloseWithError(interrupted) })
	assert.Assert(t, <-read != nil)
	p := make([]byte, 8)
	n, err := b.Attempt().Read(p)
	assert.NilError(t, err)
	assert.Equal(t, string(p[:n]), "kept")

	unread := upstream.NewBody(strings.NewReader("text"), 1<<10)
	unread.Release(nil)
	n, err = unread.Attempt().Read(p)
	assert.Assert(t, err != nil, "read %q of a released body", p[:n])
}
