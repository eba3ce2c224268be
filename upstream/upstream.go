// Package upstream sends one request to one endpoint and says, from what can
// be proved, whether it may have run.
//
// Not run is claimed in two cases only: no write of the request began and none
// can begin any more, or the endpoint itself answered that it did not run the
// request. Package net/http's Transport sends some requests again on its own
// when a reused connection fails; the body given to it here makes that
// impossible for every request that was at least partly written (see Body).
//
// # Usage
//
//	c := upstream.NewClient(upstream.Options{})
//	res := c.Send(ctx, upstream.Request{...})
//	if res.Answer != nil { defer res.Answer.Body.Close() }
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
)

// Headers between balancer and endpoint.
const (
	RequestIDHeader = "Lotuswing-Request-Id" // an endpoint may echo it
	TimeoutHeader   = "Lotuswing-Timeout"    // remaining time, a Go duration
	LoadHeader      = "Lotuswing-Load"       // the endpoint's word about itself
)

// Defaults of Options.
const (
	defaultDialTimeout = time.Second
	defaultIdle        = 90 * time.Second
	idlePerEndpoint    = 4
	maxAnswerHeader    = 256 << 10
)

// Options of a client. Zero fields take the defaults.
type Options struct {
	Connections int  // that this balancer opens to one endpoint; 0 for no limit
	HTTP2       bool // speak HTTP/2 without TLS
	DialTimeout time.Duration
}

// Client sends requests to the endpoints of one service.
type Client struct {
	transport *http.Transport
	http2     bool
}

// NewClient returns a client.
func NewClient(opts Options) *Client {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
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
		IdleConnTimeout:        defaultIdle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeader,
		Protocols:              new(http.Protocols),
	}
	t.Protocols.SetHTTP1(!opts.HTTP2)
	t.Protocols.SetUnencryptedHTTP2(opts.HTTP2)
	return &Client{transport: t, http2: opts.HTTP2}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Request is one attempt.
type Request struct {
	ID       string
	Addr     string
	In       *http.Request // the caller's, with headers already fit for the next hop
	Body     *Body
	Deadline time.Time // for the answer's header
	// Informational passes on 1xx answers; may be nil.
	Informational func(code int, header http.Header)
}

// Result is what became of an attempt. Answer is set where the endpoint
// answered, including an answer that it did not run the request.
type Result struct {
	Verdict verdict.Verdict
	Reason  reason.Code // empty where the endpoint ran the request
	Answer  *http.Response
	Err     error
	cancel  func()
}

// Close ends the exchange; an answer not read to its end is cut off.
func (r *Result) Close() {
	if r.Answer != nil {
		_ = r.Answer.Body.Close()
	}
	if r.cancel != nil {
		r.cancel()
	}
}

// exchange watches which connection an attempt was given.
type exchange struct {
	mu    sync.Mutex
	got   bool
	conn  *conn
	begun int64 // writes on the connection before this attempt
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.got = true
	x.conn, _ = info.Conn.(*conn)
	if x.conn != nil {
		x.begun = x.conn.writes.Load()
	}
}

// Send makes one attempt. ctx ends when the caller leaves.
func (c *Client) Send(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(r.Deadline), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	x := &exchange{}
	out := c.outgoing(httptrace.WithClientTrace(ctx, x.trace(r)), r)
	answer, err := c.transport.RoundTrip(out)
	end := func() { cancel(context.Canceled) }
	if err != nil {
		// Order matters: the claim is made before the connection is given up.
		res := c.failure(context.Cause(ctx), x, err)
		end()
		return res
	}
	if !timer.Stop() { // the deadline passed while the answer arrived
		_ = answer.Body.Close()
		end()
		return Result{Verdict: verdict.MayHaveRun, Reason: reason.AnswerLate, Err: context.DeadlineExceeded}
	}
	return classify(answer, r.ID, end)
}

func (x *exchange) trace(r Request) *httptrace.ClientTrace {
	t := &httptrace.ClientTrace{GotConn: x.gotConn}
	if r.Informational != nil {
		t.Got1xxResponse = func(code int, header textproto.MIMEHeader) error {
			r.Informational(code, http.Header(header))
			return nil
		}
	}
	return t
}

func (c *Client) outgoing(ctx context.Context, r Request) *http.Request {
	u := &url.URL{Scheme: "http", Host: r.Addr, Path: r.In.URL.Path, RawPath: r.In.URL.RawPath, RawQuery: r.In.URL.RawQuery}
	out := &http.Request{
		Method:        r.In.Method,
		URL:           u,
		Host:          r.In.Host,
		Header:        r.In.Header.Clone(),
		Body:          r.Body.Attempt(),
		ContentLength: r.In.ContentLength,
		Trailer:       r.In.Trailer,
	}
	out.Header.Set(RequestIDHeader, r.ID)
	out.Header.Set(TimeoutHeader, time.Until(r.Deadline).Round(time.Millisecond).String())
	return out.WithContext(ctx)
}

// failure decides what an attempt without an answer proves.
func (c *Client) failure(cause error, x *exchange, err error) Result {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case !x.got:
		return Result{Verdict: verdict.NotRun, Reason: dialReason(cause), Err: err}
	case x.conn != nil && !c.http2 && x.conn.seal(x.begun):
		_ = x.conn.Close()
		return Result{Verdict: verdict.NotRun, Reason: reason.NothingWritten, Err: err}
	case errors.Is(cause, context.DeadlineExceeded):
		return Result{Verdict: verdict.MayHaveRun, Reason: reason.AnswerLate, Err: err}
	}
	return Result{Verdict: verdict.MayHaveRun, Reason: reason.AnswerUnknown, Err: err}
}

func dialReason(cause error) reason.Code {
	switch {
	case cause == nil:
		return reason.DialFailed
	case errors.Is(cause, context.DeadlineExceeded):
		return reason.DeadlineWaiting
	}
	return reason.CallerLeft
}

// classify decides what an answer proves.
func classify(answer *http.Response, id string, end func()) Result {
	res := Result{Verdict: verdict.Ran, Answer: answer, cancel: end}
	if echo := answer.Header.Get(RequestIDHeader); echo != "" && echo != id {
		res.Close()
		err := fmt.Errorf("upstream: answer carries request id %q, want %q", echo, id)
		return Result{Verdict: verdict.MayHaveRun, Reason: reason.AnswerForeign, Err: err}
	}
	refusing := answer.StatusCode >= http.StatusInternalServerError || answer.StatusCode == http.StatusTooManyRequests
	if refusing && answer.Header.Get(verdict.Header) == verdict.NotRun.String() {
		res.Verdict, res.Reason = verdict.NotRun, reason.EndpointRefused
	}
	return res
}
