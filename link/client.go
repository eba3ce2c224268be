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

// dialTimeout bounds the time to connect to a peer. Each call has its own deadline as well.
const dialTimeout = 500 * time.Millisecond

// ErrSilent means that the context of a call ended before the peer replied. The
// peer may still execute the call.
var ErrSilent = errors.New("link: no reply from peer")

// Client calls peers over one connection to each. It is safe for concurrent use.
type Client struct {
	tls *tls.Config // nil for plain TCP

	mu      sync.Mutex
	clients map[string]*rpc.Client // by the peer's address
}

// NewClient returns a client without connections; Call opens them. A nil config
// means plain TCP.
func NewClient(config *tls.Config) *Client {
	return &Client{tls: config, clients: map[string]*rpc.Client{}}
}

// Call calls a method of the peer at addr, connecting to it first if necessary, and
// waits for the reply until ctx ends. It writes to reply only when it returns nil: a reply
// that arrives after Call has returned an error is discarded.
func (c *Client) Call(ctx context.Context, addr, method string, args, reply any) error {
	rpcClient, err := c.rpcClient(ctx, addr)
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

// Forget closes the connection to the peer at addr, if there is one. Pending
// calls on it fail at once.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	rpcClient := c.clients[addr]
	delete(c.clients, addr)
	c.mu.Unlock()
	if rpcClient != nil {
		_ = rpcClient.Close() // abandoned; a close error does not matter
	}
}

// Close closes all connections. Pending calls fail at once.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, rpcClient := range c.clients {
		_ = rpcClient.Close() // abandoned; a close error does not matter
		delete(c.clients, addr)
	}
}

// rpcClient returns the RPC client of the peer at addr, connecting to it if there is none.
func (c *Client) rpcClient(ctx context.Context, addr string) (*rpc.Client, error) {
	c.mu.Lock()
	rpcClient := c.clients[addr]
	c.mu.Unlock()
	if rpcClient != nil {
		return rpcClient, nil
	}
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("link: dial %s: %w", addr, err)
	}
	created := rpc.NewClient(conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if rpcClient = c.clients[addr]; rpcClient != nil { // a concurrent call connected first
		_ = created.Close() // never used
		return rpcClient, nil
	}
	c.clients[addr] = created
	return created, nil
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

// drop closes a failed connection, so that the next call to addr connects again.
func (c *Client) drop(addr string, rpcClient *rpc.Client) {
	c.mu.Lock()
	if c.clients[addr] == rpcClient {
		delete(c.clients, addr)
	}
	c.mu.Unlock()
	_ = rpcClient.Close() // abandoned; a close error does not matter
}
