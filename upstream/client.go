// Package upstream sends one request to one endpoint and determines, from what can be
// proved, whether it may have run.
//
// NotRun is claimed in two cases only: no write of the request began and none can
// begin any more, or the endpoint itself responded that it did not run the
// request. http.Transport resends some requests on its own when a reused connection
// fails; the body passed to it here prevents that for every request that was at least
// partly written (see Body.Attempt).
//
// The package owns the connections to endpoints. A Dialect defines the names of the
// headers and what an endpoint guarantees with them. Packages balancer and coord/retry
// decide whether a request is retried.
//
// # Usage
//
//	c := upstream.NewClient(upstream.Options{})
//	res := c.Send(ctx, upstream.Request{...})
//	defer res.Close()
//	if res.Verdict == verdict.Ran { forward res.Response }
package upstream

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lotuswing/lotuswing/internal/dial"
)

// Defaults of Options and limits of a client.
const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 90 * time.Second
	maxIdlePerEndpoint = 4         // idle connections kept open
	maxHeaderBytes     = 256 << 10 // of a response
	maxStreamBytes     = 256 << 10 // of a response over HTTP/2 that the caller has not taken yet
)

// Options configures a client. Fields that are zero take their defaults.
type Options struct {
	MaxConnections int           // maximum of open connections of this client to one endpoint; 0 for no limit
	HTTP2          bool          // use HTTP/2 without TLS, and no HTTP/1
	DialTimeout    time.Duration // default 1 s
	IdleTimeout    time.Duration // after which an idle connection is closed; default 90 s
	NewConnections bool          // open a new connection for each request
	Dialect        *Dialect      // nil for Native
	Dial           DialFunc      // opens connections; nil for package dial
	Paths          Paths         // how endpoints are reached; nil for always directly
}

// DialFunc opens a connection, within the deadline of ctx.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	opts      Options
	transport *http.Transport
	detours   *http.Transport // sends over connections that other balancers open; nil without Options.Paths
	http2     bool
	dialect   *Dialect
	reader    *Reader
}

// NewClient returns a client with the given options.
func NewClient(opts Options) *Client {
	opts.DialTimeout = cmp.Or(opts.DialTimeout, defaultDialTimeout)
	opts.IdleTimeout = cmp.Or(opts.IdleTimeout, defaultIdleTimeout)
	if opts.Dialect == nil {
		native := Native()
		opts.Dialect = &native
	}
	c := &Client{opts: opts, http2: opts.HTTP2, dialect: opts.Dialect, reader: NewReader(opts.Dialect)}
	if opts.Dial == nil {
		opts.Dial = dial.Dialer(opts.DialTimeout).DialContext
	}
	c.transport = opts.newTransport(opts.Dial)
	if opts.Paths != nil {
		c.detours = opts.newTransport(opts.Paths.DialDetour)
		opts.Paths.OnIdle(c.closeIdle)
	}
	return c
}

// dialBegunKey is the key under which the context of a request holds an *atomic.Bool that is set once
// the transport dials for the request. A request that waits for one of MaxConnections has not dialed.
type dialBegunKey struct{}

// newTransport returns a transport that opens connections with open.
func (opts Options) newTransport(open DialFunc) *http.Transport {
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if begun, ok := ctx.Value(dialBegunKey{}).(*atomic.Bool); ok {
				begun.Store(true)
			}
			ctx, cancel := context.WithTimeout(ctx, opts.DialTimeout)
			defer cancel()
			if !opts.HTTP2 { // its connections are shared, and net/http does not say when they are idle
				ctx = WithDraining(ctx)
			}
			c, err := open(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return newConn(c), nil
		},
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		MaxConnsPerHost:        opts.MaxConnections,
		IdleConnTimeout:        opts.IdleTimeout,
		DisableCompression:     true,
		DisableKeepAlives:      opts.NewConnections,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              new(http.Protocols),
		HTTP2:                  &http.HTTP2Config{MaxReceiveBufferPerStream: maxStreamBytes},
	}
	t.Protocols.SetHTTP1(!opts.HTTP2)
	t.Protocols.SetUnencryptedHTTP2(opts.HTTP2)
	return t
}

// WithPaths returns a client with the same options that reaches endpoints as paths says.
func (c *Client) WithPaths(paths Paths) *Client {
	opts := c.opts
	opts.Paths = paths
	return NewClient(opts)
}

// WithDial returns a client with the same options that opens connections with dial.
func (c *Client) WithDial(dial DialFunc) *Client {
	opts := c.opts
	opts.Dial = dial
	return NewClient(opts)
}

// CloseIdle closes the idle connections, at the end of a client or when it is unknown how long they
// have been idle, as after the machine was suspended. The client stays usable and opens new ones.
func (c *Client) CloseIdle() {
	c.closeIdle(false)
	c.closeIdle(true)
}

// closeIdle closes the idle connections that are detoured, or those that are not.
func (c *Client) closeIdle(detoured bool) {
	switch {
	case !detoured:
		c.transport.CloseIdleConnections()
	case c.detours != nil:
		c.detours.CloseIdleConnections()
	}
}
