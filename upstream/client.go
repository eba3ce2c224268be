// Package upstream sends one request to one endpoint and says, from what can be
// proved, whether it may have run.
//
// NotRun is claimed in two cases only: no write of the request began and none can
// begin any more, or the endpoint itself responded that it did not run the
// request. Package net/http's Transport sends some requests again on its own when
// a reused connection fails; the body given to it here makes that impossible for
// every request that was at least partly written (see Body).
//
// The package owns the connections to endpoints. It relies on a Dialect for the
// names of headers and for what an endpoint promises with them. Whether a request
// is sent again is not decided here; see packages balancer and coord/retry.
//
// # Usage
//
//	c := upstream.NewClient(upstream.Options{})
//	res := c.Send(ctx, upstream.Request{...})
//	defer res.Close()
//	if res.Verdict == verdict.Ran { pass on res.Response }
package upstream

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/internal/dial"
)

// Defaults of Options and bounds of a client.
const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 90 * time.Second
	idlePerEndpoint    = 4         // unused connections kept
	maxHeaderBytes     = 256 << 10 // of a response's header
)

// Options of a client. Zero fields take the defaults.
type Options struct {
	Connections int           // most that this process opens to one endpoint; 0 for no limit
	HTTP2       bool          // speak HTTP/2 without TLS
	DialTimeout time.Duration // default 1 s
	IdleTimeout time.Duration // after which an unused connection is closed; default 90 s
	Fresh       bool          // a new connection for each request
	Dialect     *Dialect      // nil for the product's own
}

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	http2     bool
	dialect   *Dialect
	reader    *Reader
}

// NewClient returns a client.
func NewClient(opts Options) *Client {
	opts.DialTimeout = cmp.Or(opts.DialTimeout, defaultDialTimeout)
	opts.IdleTimeout = cmp.Or(opts.IdleTimeout, defaultIdleTimeout)
	if opts.Dialect == nil {
		native := Native()
		opts.Dialect = &native
	}
	dialer := dial.Dialer(opts.DialTimeout)
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    idlePerEndpoint,
		MaxConnsPerHost:        opts.Connections,
		IdleConnTimeout:        opts.IdleTimeout,
		DisableCompression:     true,
		DisableKeepAlives:      opts.Fresh,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              new(http.Protocols),
	}
	t.Protocols.SetHTTP1(!opts.HTTP2)
	t.Protocols.SetUnencryptedHTTP2(opts.HTTP2)
	return &Client{transport: t, http2: opts.HTTP2, dialect: opts.Dialect, reader: NewReader(opts.Dialect)}
}

// Close closes idle connections, as at the end of a client or when nobody knows for how long
// they have rested. Others may be opened after it.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
