package link_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/link"
	"gotest.tools/v3/assert"
)

// blockingReceiver replies to Reach once release is closed, and to Fetch at once.
type blockingReceiver struct{ release chan struct{} }

// Reach waits until release is closed, then sets a field of the reply that the test checks.
// net/rpc requires methods with this signature.
func (r *blockingReceiver) Reach(_ link.ReachArgs, reply *link.AcquireReply) error {
	<-r.release
	reply.RetryAfter = time.Hour
	return nil
}

// Fetch is called over the same connection as Reach, after release is closed.
func (r *blockingReceiver) Fetch(_ link.FetchArgs, reply *link.FetchReply) error {
	reply.Found = true
	return nil
}

// TestLateReplyIsDiscarded guards against a late write to the caller's reply value: the
// connection still reads the reply to a call that has returned ErrSilent, and must not
// write it to the value that the caller passed.
func TestLateReplyIsDiscarded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	receiver := &blockingReceiver{release: make(chan struct{})}
	server, err := link.Serve(l, nil, receiver)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	client := link.NewClient(nil)
	t.Cleanup(client.Close)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	var reply link.AcquireReply
	err = client.Call(ctx, l.Addr().String(), link.Reach, link.ReachArgs{}, &reply)
	assert.Assert(t, errors.Is(err, link.ErrSilent), "%v", err)
	close(receiver.release)
	for range 20 { // the late reply arrives before the last of these calls returns
		var found link.FetchReply
		assert.NilError(t, client.Call(t.Context(), l.Addr().String(), link.Fetch, link.FetchArgs{}, &found))
		assert.Assert(t, found.Found)
		assert.Equal(t, reply.RetryAfter, time.Duration(0))
	}
}
