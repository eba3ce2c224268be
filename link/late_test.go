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

// lateReceiver answers when it is told to.
type lateReceiver struct{ answer chan struct{} }

// Reach answers late. It has the form that net/rpc asks for.
func (r *lateReceiver) Reach(_ link.ReachArgs, reply *link.AcquireReply) error {
	<-r.answer
	reply.RetryAfter = time.Hour
	return nil
}

// Fetch answers at once. What it answers is sent behind the late answer.
func (r *lateReceiver) Fetch(_ link.FetchArgs, reply *link.FetchReply) error {
	reply.Found = true
	return nil
}

// TestLateAnswerIsNotSeen: the answer to a call that was given up is read by the
// connection, and never seen by the one that made the call.
func TestLateAnswerIsNotSeen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	receiver := &lateReceiver{answer: make(chan struct{})}
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
	close(receiver.answer)
	for range 20 { // the late answer has arrived before the last of these
		var found link.FetchReply
		assert.NilError(t, client.Call(t.Context(), l.Addr().String(), link.Fetch, link.FetchArgs{}, &found))
		assert.Assert(t, found.Found)
		assert.Equal(t, reply.RetryAfter, time.Duration(0))
	}
}
