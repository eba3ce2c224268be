package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/internal/dial"
)

// dialTimeout bounds the opening of a connection to a peer; calls have bounds of their own.
const dialTimeout = 500 * time.Millisecond

// ErrSilent says that the peer did not answer in time; it may still act on the
// call.
var ErrSilent = errors.New("link: peer is silent")

// Client calls peers over one connection each.
type Client struct {
	tls *tls.Config // nil for plain TCP

	mu    sync.Mutex
	peers map[string]*rpc.Client
}

// NewClient returns a client; a nil config means plain TCP.
func NewClient(config *tls.Config) *Client {
	return &Client{tls: config, peers: map[string]*rpc.Client{}}
}

// Call calls a method of the peer at addr and waits until ctx ends. reply is written
// before a call returns without an error, and never otherwise: the answer to one that was
// given up may still come.
func (c *Client) Call(ctx context.Context, addr, method string, args, reply any) error {
	peer, err := c.peer(ctx, addr)
	if err != nil {
		return err
	}
	received := reflect.New(reflect.TypeOf(reply).Elem())
	call := peer.Go(method, args, received.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return fmt.Errorf("%w: %s at %s: %w", ErrSilent, method, addr, ctx.Err())
	}
	var answered rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &answered) {
		c.drop(addr, peer)
	}
	if call.Error != nil {
		return fmt.Errorf("link: %s at %s: %w", method, addr, call.Error)
	}
	reflect.ValueOf(reply).Elem().Set(received.Elem())
	return nil
}

// Forget closes the connection to a peer that is gone; calls that wait on it
// fail at once.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	peer := c.peers[addr]
	delete(c.peers, addr)
	c.mu.Unlock()
	if peer != nil {
		_ = peer.Close() // given up, whatever it says
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, peer := range c.peers {
		_ = peer.Close() // given up, whatever it says
		delete(c.peers, addr)
	}
}

func (c *Client) peer(ctx context.Context, addr string) (*rpc.Client, error) {
	c.mu.Lock()
	peer := c.peers[addr]
	c.mu.Unlock()
	if peer != nil {
		return peer, nil
	}
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("link: dial %s: %w", addr, err)
	}
	fresh := rpc.NewClient(conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer = c.peers[addr]; peer != nil { // another call was faster
		_ = fresh.Close() // never used
		return peer, nil
	}
	c.peers[addr] = fresh
	return fresh, nil
}

func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if c.tls != nil {
		d := tls.Dialer{NetDialer: dial.Dialer(dialTimeout), Config: c.tls}
		return d.DialContext(ctx, "tcp", addr)
	}
	return dial.Dialer(dialTimeout).DialContext(ctx, "tcp", addr)
}

func (c *Client) drop(addr string, peer *rpc.Client) {
	c.mu.Lock()
	if c.peers[addr] == peer {
		delete(c.peers, addr)
	}
	c.mu.Unlock()
	_ = peer.Close() // given up, whatever it says
}
