package link_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/link"
	"gotest.tools/v3/assert"
)

// longReason makes a reply that is longer than a peer that reads nothing takes at once.
var longReason = reason.Code(strings.Repeat("x", 500_000))

// slowReceiver replies to Reach once release is closed.
type slowReceiver struct{ arrived, release chan struct{} }

func (r *slowReceiver) Reach(_ link.ReachArgs, reply *link.AcquireReply) error {
	close(r.arrived)
	<-r.release
	reply.Reason = longReason
	return nil
}

// Fetch replies at once.
func (r *slowReceiver) Fetch(link.FetchArgs, *link.FetchReply) error { return nil }

// startSlow starts a server with a call of Reach under way, whose end is sent to called.
func startSlow(t *testing.T, server, client *tls.Config, streams link.StreamHandler) (s *link.Server, c *link.Client, addr string, receiver *slowReceiver, called chan error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	receiver = &slowReceiver{make(chan struct{}), make(chan struct{})}
	s, err = link.ServeStreams(l, server, receiver, streams)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	c = link.NewClient(client)
	t.Cleanup(c.Close)
	addr, called = l.Addr().String(), make(chan error, 1)
	go func() {
		var reply link.AcquireReply
		called <- c.Call(context.Background(), addr, link.Reach, link.ReachArgs{}, &reply)
	}()
	<-receiver.arrived
	return s, c, addr, receiver, called
}

// waitClosed waits until nothing listens at addr.
func waitClosed(addr string) {
	for {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

// TestShutdownAnswersCallsUnderWay, although the peer goes on calling on the same connection; those calls
// are not served.
func TestShutdownAnswersCallsUnderWay(t *testing.T) {
	a := newAuthority(t)
	server := loadTLSConfig(t, a.issue(t, t.TempDir(), "server", time.Now().Add(time.Hour)))
	peer := loadTLSConfig(t, a.issue(t, t.TempDir(), "peer", time.Now().Add(time.Hour)))
	streams := func(net.Conn, *bufio.Reader) {}
	for name, c := range map[string]struct {
		server, client *tls.Config
		streams        link.StreamHandler
	}{"plain": {}, "TLS": {server, peer, nil}, "TLS with streams": {server, peer, streams}} {
		t.Run(name, func(t *testing.T) {
			s, client, addr, receiver, called := startSlow(t, c.server, c.client, c.streams)
			ended := make(chan error, 1)
			go func() { ended <- s.Shutdown(t.Context()) }()
			waitClosed(addr)
			later := make(chan error, 1)
			go func() {
				later <- client.Call(t.Context(), addr, link.Fetch, link.FetchArgs{}, &link.FetchReply{})
			}()
			time.Sleep(20 * time.Millisecond) // until the call has arrived unread
			close(receiver.release)
			assert.NilError(t, <-called)
			assert.Assert(t, <-later != nil)
			assert.NilError(t, <-ended)
		})
	}
}

// gatedConn reads nothing before its gate is open.
type gatedConn struct {
	net.Conn
	gate chan struct{}
}

func (c gatedConn) Read(p []byte) (int, error) {
	<-c.gate
	return c.Conn.Read(p)
}

// TestUnreadCallDoesNotTakeReplyAlong: the peer reads the reply after the server has closed the
// connection, on which a call had arrived unread.
func TestUnreadCallDoesNotTakeReplyAlong(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	receiver := &slowReceiver{make(chan struct{}), make(chan struct{})}
	s, err := link.Serve(l, nil, receiver)
	assert.NilError(t, err)
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	gate := make(chan struct{})
	peer := rpc.NewClient(gatedConn{conn, gate})
	t.Cleanup(func() { _ = peer.Close() })
	var reply link.AcquireReply
	call := peer.Go(link.Reach, link.ReachArgs{}, &reply, nil)
	<-receiver.arrived
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	waitClosed(l.Addr().String())
	unread := peer.Go(link.Fetch, link.FetchArgs{}, &link.FetchReply{}, nil)
	close(receiver.release)
	assert.NilError(t, <-ended)
	close(gate)
	assert.NilError(t, (<-call.Done).Error)
	assert.Assert(t, reply.Reason == longReason)
	assert.Assert(t, (<-unread.Done).Error != nil)
}

// TestShutdownIsBounded: a call that is not answered in time is cut, and streams stay open.
func TestShutdownIsBounded(t *testing.T) {
	echoed := func(conn net.Conn, r *bufio.Reader) { _, _ = io.Copy(conn, r) }
	s, client, addr, receiver, called := startSlow(t, nil, nil, echoed)
	stream, err := client.OpenStream(t.Context(), addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = stream.Close() })
	pass := func() {
		_, err := io.WriteString(stream, "x")
		assert.NilError(t, err)
		_, err = io.ReadFull(stream, make([]byte, 1))
		assert.NilError(t, err)
	}
	pass()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, s.Shutdown(ctx), context.DeadlineExceeded)
	assert.Assert(t, <-called != nil)
	pass()
	close(receiver.release)
}
