package upstream

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
)

// Request is one attempt.
type Request struct {
	ID       string
	Addr     string        // of the endpoint
	In       *http.Request // the caller's, with headers already fit for the next hop
	Body     *Body
	Deadline time.Time // for the response's header, and for the whole of one that is buffered
	Instance string    // incarnation of the endpoint, sent where the dialect names it
	// BufferBytes: responses of up to so many bytes are read whole before Send
	// returns; 0 for none.
	BufferBytes int
	// MostIdle is how long the connection may have rested that the request goes out on; 0
	// for any time. Where only others are open the request is not sent, see Result.Rested.
	MostIdle time.Duration
	// Admitted reports, once there is a connection, whether the endpoint still may get the
	// request; nil for yes. Where it may not, nothing is sent, see Result.Withdrawn. It is not
	// asked over HTTP/2, whose connections have other requests on them.
	Admitted func() bool
	// Informational passes on 1xx responses; may be nil.
	Informational func(code int, header http.Header)
}

// Result is what became of an attempt.
type Result struct {
	Verdict verdict.Verdict
	Reason  reason.Code // empty where the endpoint ran the request
	// Response is set where the endpoint ran the request or said that it did not.
	Response *http.Response
	// Report is what the head of the response says of the endpoint, also of a response that is
	// not passed on. One that may not be the endpoint's own says nothing.
	Report   Report
	Buffered bool // the response is whole, in memory
	Rested   bool // nothing was sent, because the connection had rested for longer than MostIdle
	// Withdrawn: nothing was sent, because the endpoint may not get the request any more.
	Withdrawn bool
	// Broken: the request was sent and its connection ended before the response did, though
	// there was time left, as it does where the endpoint ends.
	Broken bool
	Err    error // why there is no response
	cancel func()
}

// Close ends the exchange; a response not read to its end is cut off.
func (r *Result) Close() {
	if r.Response != nil {
		_ = r.Response.Body.Close() // of a connection that is given up; nothing rests on it
	}
	if r.cancel != nil {
		r.cancel()
	}
}

// Send makes one attempt. ctx ends when the caller leaves.
func (c *Client) Send(ctx context.Context, r Request) Result {
	sent := time.Now()
	remaining := r.Deadline.Sub(sent)
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(remaining, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	x := &exchange{mostIdle: r.MostIdle}
	if !c.http2 {
		x.admitted = r.Admitted
	}
	response, err := c.transport.RoundTrip(c.outgoing(httptrace.WithClientTrace(ctx, x.trace(r)), r, remaining))
	end := func() { cancel(context.Canceled) }
	if err != nil {
		// Order matters: the claim is made before the connection is given up.
		res := x.failure(context.Cause(ctx), c.http2, err)
		end()
		return res
	}
	res := c.received(response, r.ID, end)
	report := c.reportOf(&res, response, sent, time.Now())
	if res.Response != nil && r.BufferBytes > 0 {
		res.buffer(r.BufferBytes)
	}
	if !timer.Stop() { // the deadline passed while the response arrived
		_ = response.Body.Close() // its connection is given up
		end()
		res = late(res.Verdict)
	}
	res.Report = report
	return res
}

// outgoing returns the request for the endpoint.
func (c *Client) outgoing(ctx context.Context, r Request, remaining time.Duration) *http.Request {
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
	out.Header.Set(c.dialect.Timeout, c.dialect.FormatTimeout(remaining))
	if c.dialect.Instance != "" && r.Instance != "" {
		out.Header.Set(c.dialect.Instance, r.Instance)
	}
	return out.WithContext(ctx)
}

// exchange watches which connection an attempt was given.
type exchange struct {
	mostIdle time.Duration // 0 for any
	admitted func() bool   // nil for always

	mu        sync.Mutex
	got       bool
	conn      *conn
	begun     int64 // writes on the connection before this attempt
	rested    bool  // the connection had rested for too long and is sealed
	withdrawn bool  // the endpoint may not get the request any more, and the connection is sealed
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.got = true
	x.conn, _ = info.Conn.(*conn) // nil for a connection that is not of this package's dialer
	if x.conn != nil {
		x.begun = x.conn.writes.Load()
	}
	if x.conn == nil {
		return
	}
	x.withdrawn = x.admitted != nil && !x.admitted() && x.conn.seal(x.begun)
	x.rested = !x.withdrawn && x.mostIdle > 0 && info.Reused && info.IdleTime > x.mostIdle && x.conn.seal(x.begun)
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
