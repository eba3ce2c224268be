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

// dialTimeout limits the time to connect to a peer, including the TLS handshake. The
// context of a call may end earlier.
const dialTimeout = 500 * time.Millisecond

// ErrSilent means that the context of a call ended after the call was sent to the peer and
// before the reply arrived. The peer may still execute the call.
var ErrSilent = errors.New("link: no reply from peer")

// Client calls peers over one connection to each. It is safe for concurrent use.
type Client struct {
	tls *tls.Config // nil for plain TCP

	mu         sync.Mutex
	rpcClients map[string]*rpc.Client // by the peer's address
}

// NewClient returns a client without connections; Call opens them. A nil config
// means plain TCP.
func NewClient(config *tls.Config) *Client {
	return &Client{tls: config, rpcClients: map[string]*rpc.Client{}}
}

// Call calls a method of the peer at addr, connecting to it first if necessary, and
// waits for the reply until ctx ends. It writes to reply only when it returns nil: a reply
// that arrives after Call has returned an error is discarded.
func (c *Client) Call(ctx context.Context, addr, method string, args, reply any) error {
	rpcClient, err := c.getOrConnect(ctx, addr)
	if err != nil {
		return err
	}
	received := reflect.New(reflect.TypeOf(reply).Elem())
	call := rpcClient.Go(method, args, received.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return fmt.Errorf("%w: %s at %s: %w", ErrSilent, method, addr, ctx.Err())
	}
	var serverErr rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &serverErr) {
		c.drop(addr, rpcClient)
	}
	if call.Error != nil {
		return fmt.Errorf("link: %s at %s: %w", method, addr, call.Error)
	}
	reflect.ValueOf(reply).Elem().Set(received.Elem())
	return nil
}

// Connect connects to the peer at addr if there is no connection to it yet. It fails if that takes
// longer than within.
func (c *Client) Connect(ctx context.Context, addr string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	_, err := c.getOrConnect(ctx, addr)
	return err
}

// OpenStream opens a connection to the peer at addr that carries bytes instead of calls. A peer of an
// earlier version closes it.
func (c *Client) OpenStream(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("link: dial %s: %w", addr, err)
	}
	if _, err := conn.Write([]byte{streamMark}); err != nil {
		_ = conn.Close() // the connection is no longer used; a close error does not matter
		return nil, fmt.Errorf("link: stream to %s: %w", addr, err)
	}
	return conn, nil
}

// Forget closes the connection to the peer at addr, if there is one, for example because
// the peer is no longer a member of the fleet. Pending calls on it fail at once.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	rpcClient := c.rpcClients[addr]
	delete(c.rpcClients, addr)
	c.mu.Unlock()
	if rpcClient != nil {
		_ = rpcClient.Close() // the connection is no longer used; a close error does not matter
	}
}

// Close closes all connections. Pending calls fail at once.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, rpcClient := range c.rpcClients {
		_ = rpcClient.Close() // the connection is no longer used; a close error does not matter
		delete(c.rpcClients, addr)
	}
}

// getOrConnect returns the RPC client of the peer at addr, connecting to the peer
// if there is none yet.
func (c *Client) getOrConnect(ctx context.Context, addr string) (*rpc.Client, error) {
	c.mu.Lock()
	rpcClient := c.rpcClients[addr]
	c.mu.Unlock()
	if rpcClient != nil {
		return rpcClient, nil
	}
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("link: dial %s: %w", addr, err)
	}
	newClient := rpc.NewClient(&boundedConn{Conn: conn})
	c.mu.Lock()
	defer c.mu.Unlock()
	if rpcClient = c.rpcClients[addr]; rpcClient != nil { // a concurrent call connected first
		_ = newClient.Close() // its connection was never used
		return rpcClient, nil
	}
	c.rpcClients[addr] = newClient
	return newClient, nil
}

// dial connects to addr, over TLS if the client has a TLS configuration.
func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if c.tls != nil {
		d := tls.Dialer{NetDialer: dial.Dialer(dialTimeout), Config: c.tls}
		return d.DialContext(ctx, "tcp", addr)
	}
	return dial.Dialer(dialTimeout).DialContext(ctx, "tcp", addr)
}

// drop closes a failed connection, so that the next call to addr connects again. If a
// newer connection to addr exists, it stays open.
func (c *Client) drop(addr string, rpcClient *rpc.Client) {
	c.mu.Lock()
	if c.rpcClients[addr] == rpcClient {
		delete(c.rpcClients, addr)
	}
	c.mu.Unlock()
	_ = rpcClient.Close() // the connection is no longer used; a close error does not matter
}
