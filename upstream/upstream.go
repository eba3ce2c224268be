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
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
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
	Idle        time.Duration // after which an unused connection is closed
	Fresh       bool          // a new connection for each request
	Dialect     *Dialect      // nil for the product's own
}

// Client sends requests to the endpoints of one service.
type Client struct {
	transport *http.Transport
	http2     bool
	dialect   *Dialect
}

// NewClient returns a client.
func NewClient(opts Options) *Client {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.Idle == 0 {
		opts.Idle = defaultIdle
	}
	if opts.Dialect == nil {
		native := Native()
		opts.Dialect = &native
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
		IdleConnTimeout:        opts.Idle,
		DisableCompression:     true,
		DisableKeepAlives:      opts.Fresh,
		MaxResponseHeaderBytes: maxAnswerHeader,
		Protocols:              new(http.Protocols),
	}
	t.Protocols.SetHTTP1(!opts.HTTP2)
	t.Protocols.SetUnencryptedHTTP2(opts.HTTP2)
	return &Client{transport: t, http2: opts.HTTP2, dialect: opts.Dialect}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Request is one attempt.
type Request struct {
	ID       string
	Addr     string
	In       *http.Request // the caller's, with headers already fit for the next hop
	Body     *Body
	Deadline time.Time // for the answer's header, and for the whole of an answer that is held
	Instance string    // incarnation of the endpoint, where the dialect names it
	Hold     int       // answers of up to so many bytes are read whole before Send returns; 0 for none
	// Informational passes on 1xx answers; may be nil.
	Informational func(code int, header http.Header)
}

// Result is what became of an attempt. Answer is set where the endpoint
// answered, including an answer that it did not run the request.
type Result struct {
	Verdict verdict.Verdict
	Reason  reason.Code // empty where the endpoint ran the request
	Answer  *http.Response
	Held    bool // the answer is whole, in memory
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
	res := c.classify(answer, r.ID, end)
	if res.Answer != nil && r.Hold > 0 {
		res.hold(r.Hold)
	}
	if !timer.Stop() { // the deadline passed while the answer arrived
		_ = answer.Body.Close()
		end()
		if res.Verdict == verdict.NotRun {
			return Result{Verdict: verdict.NotRun, Reason: reason.DeadlineWaiting, Err: context.DeadlineExceeded}
		}
		return Result{Verdict: verdict.MayHaveRun, Reason: reason.AnswerLate, Err: context.DeadlineExceeded}
	}
	return res
}

// hold reads a small answer whole, so that one that is cut short can be told
// from a whole one before the caller sees any of it. A longer answer keeps its
// body.
func (r *Result) hold(limit int) {
	if r.Answer.ContentLength > int64(limit) || r.Answer.StatusCode == http.StatusSwitchingProtocols {
		return
	}
	body := r.Answer.Body
	kept, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	switch {
	case err != nil && r.Verdict == verdict.NotRun:
		r.Answer.Body = http.NoBody // its header has said all that counts
	case err != nil:
		r.Close()
		*r = Result{Verdict: verdict.MayHaveRun, Reason: reason.AnswerCut, Err: err}
	case len(kept) > limit:
		r.Answer.Body = &resumed{Reader: io.MultiReader(bytes.NewReader(kept), body), Closer: body}
	default:
		_ = body.Close()
		r.Answer.Body = io.NopCloser(bytes.NewReader(kept))
		r.Held = true
	}
}

// resumed is a body of which a part has been read.
type resumed struct {
	io.Reader
	io.Closer
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
	u := &url.URL{
		Scheme: "http", Host: r.Addr, Path: r.In.URL.Path, RawPath: r.In.URL.RawPath,
		RawQuery: r.In.URL.RawQuery, ForceQuery: r.In.URL.ForceQuery,
	}
	out := &http.Request{
		Method:        r.In.Method,
		URL:           u,
		Host:          r.In.Host,
		Header:        r.In.Header.Clone(),
		Body:          r.Body.Attempt(),
		ContentLength: r.In.ContentLength,
		Trailer:       r.In.Trailer,
	}
	out.Header.Set(c.dialect.RequestID, r.ID)
	out.Header.Set(c.dialect.Timeout, c.dialect.FormatTimeout(time.Until(r.Deadline)))
	if c.dialect.Instance != "" && r.Instance != "" {
		out.Header.Set(c.dialect.Instance, r.Instance)
	}
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
func (c *Client) classify(answer *http.Response, id string, end func()) Result {
	res := Result{Verdict: verdict.Ran, Answer: answer, cancel: end}
	d := c.dialect
	echo := answer.Header.Get(d.RequestID)
	refused := d.refused(answer)
	if echo != id && (echo != "" || d.EchoRequired) {
		return res.discard(reason.AnswerForeign, fmt.Errorf("upstream: answer carries request id %q, want %q", echo, id))
	}
	switch {
	case refused && answer.StatusCode == http.StatusMisdirectedRequest:
		res.Verdict, res.Reason = verdict.NotRun, reason.EndpointReplaced
	case refused:
		res.Verdict, res.Reason = verdict.NotRun, reason.EndpointRefused
	case d.spoiled(answer) != "":
		return res.discard(reason.AnswerSpoiled, fmt.Errorf("upstream: answer with %s", d.spoiled(answer)))
	case d.NotRunValue == "" && promisesNotRun(answer.StatusCode):
		return res.discard(reason.AnswerUnknown, fmt.Errorf("upstream: status %d without the endpoint's word that it did not run the request", answer.StatusCode))
	}
	return res
}

// discard gives up an answer that cannot be passed on, with its connection.
func (r *Result) discard(code reason.Code, err error) Result {
	r.Close()
	return Result{Verdict: verdict.MayHaveRun, Reason: code, Err: err}
}
