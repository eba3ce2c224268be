package upstream

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/internal/brief"
)

// Request describes one attempt to send a caller's request.
type Request struct {
	ID       string
	Addr     string        // of the endpoint
	Incoming *http.Request // the caller's, with its hop-by-hop headers already removed
	Body     *Body
	Deadline time.Time // for the whole response; for its header if that switches protocols
	Instance string    // incarnation of the endpoint; sent if the dialect has a header for it
	// BufferBytes is the size up to which response bodies are read to their end before Send
	// returns; 0 for none.
	BufferBytes int
	// MaxIdle is how long a reused connection may have been idle; 0 for any time. If the
	// transport picks one that was idle for longer, the request is not sent, see Result.IdleTooLong.
	MaxIdle time.Duration
	// Admitted reports, once there is a connection, whether the endpoint may still get the
	// request; nil for yes. If it may not, nothing is sent, see Result.Withdrawn. It is not
	// called for HTTP/2, whose connections other requests share.
	Admitted func() bool
	// Settle is how long a new connection must stay open before the request is written to it; 0 for
	// no check. A full endpoint resets new connections at once. If it does so within this time, nothing
	// is sent, see Result.Reset. It is not used for HTTP/2.
	Settle time.Duration
	// Repeatable says that the request may be given up and sent again once the path to its endpoint is
	// known to be lost.
	Repeatable bool
	// OnInformational is called with each 1xx response; may be nil.
	OnInformational func(code int, header http.Header)
	// OnResponseBegun is called with the first byte of a response, also of a 1xx response; may be nil.
	OnResponseBegun func()
}

// Result is the outcome of an attempt.
type Result struct {
	Verdict verdict.Verdict
	Reason  reason.Code // empty where the endpoint ran the request
	// Response is set where the endpoint ran the request or said that it did not.
	Response *http.Response
	// Report is what the status and header of the response say about the endpoint, even if
	// Response is nil. It is empty for a response that may not be the endpoint's own.
	Report      Report
	Buffered    bool // the whole response body is in memory
	IdleTooLong bool // nothing was sent, because the connection had been idle for longer than MaxIdle
	// Withdrawn says that nothing was sent, because Admitted returned false.
	Withdrawn bool
	// WrittenAt is when the request was about to be written to a connection; zero if it never was.
	WrittenAt time.Time
	// ConnectionBroken says that the request may have been sent and its connection failed before the end
	// of the response and before the deadline, for example because the endpoint stopped.
	ConnectionBroken bool
	// Reset says that the endpoint closed the connection instead of sending a response. The Verdict is
	// NotRun if it did so before the request was written.
	Reset bool
	// Carrier is the address of the balancer that opened the connection, and Tunnel identifies the
	// connection in its log; empty for a direct connection.
	Carrier string
	Tunnel  string
	Err     error // why there is no response
	// connected says that the transport picked a connection.
	connected bool
	draining  bool // nothing was sent, because the connection is draining
	cancel    func()
}

// Close closes the response body, if any, and releases the attempt's resources. It closes the
// connection of a response that was not read to its end.
func (r *Result) Close() {
	if r.Response != nil {
		_ = r.Response.Body.Close() // the error has no effect: nothing more is read
	}
	if r.cancel != nil {
		r.cancel()
	}
}

// Send makes one attempt. ctx must end when the caller disconnects. The caller of Send must
// close the result.
func (c *Client) Send(ctx context.Context, r Request) Result {
	switch paths := c.opts.Paths; {
	case paths == nil:
		return c.sendOver(ctx, c.transport, r)
	case paths.Detoured(r.Addr):
		return c.sendOver(ctx, c.detours, r)
	default:
		return c.sendChecked(ctx, r)
	}
}

// sendOver makes one attempt over a transport. If the connection that it picks turns out to be draining,
// nothing was sent, and another one is picked.
func (c *Client) sendOver(ctx context.Context, transport *http.Transport, r Request) Result {
	for tries := 1; ; tries++ {
		res := c.sendOnce(ctx, transport, r)
		if !res.draining || tries == maxDrainingTries || ctx.Err() != nil || !r.Body.Replayable() {
			return res
		}
	}
}

// sendOnce makes one attempt over one connection.
func (c *Client) sendOnce(ctx context.Context, transport *http.Transport, r Request) Result {
	sent := time.Now()
	remaining := r.Deadline.Sub(sent)
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(remaining, func() { cancel(context.DeadlineExceeded) })
	tracker := &connTracker{mostIdle: r.MaxIdle}
	if !c.http2 {
		tracker.admitted, tracker.settle = r.Admitted, r.Settle
	}
	if r.Repeatable && transport == c.transport && c.opts.Paths != nil {
		defer c.opts.Paths.OnLost(r.Addr, func() { cancel(ErrPathLost) })()
	}
	response, err := transport.RoundTrip(c.outgoingRequest(httptrace.WithClientTrace(ctx, tracker.trace(r)), r, remaining))
	tracker.informational.end()
	release := func() {
		timer.Stop()
		cancel(context.Canceled)
	}
	if err != nil {
		// The order matters: failureResult must seal the connection before the cancellation
		// releases it, and needs the cause from before the cancellation.
		res := tracker.failureResult(context.Cause(ctx), c.http2, brief.Error(err))
		res.connected, res.WrittenAt = tracker.connected(), tracker.writtenAt()
		res.Carrier, res.Tunnel = tracker.via()
		release()
		return res
	}
	if c.opts.Paths != nil {
		c.opts.Paths.Responded(r.Addr, transport == c.detours)
	}
	fault := headFault(response, r.Incoming.Header, c.http2)
	if response.StatusCode != http.StatusSwitchingProtocols {
		response.Body = timedBody{ReadCloser: response.Body, ctx: ctx, response: response}
	} else if !timer.Stop() {
		cancel(context.DeadlineExceeded)
	}
	res := c.responseResult(response, r.ID, fault, release)
	report := c.readReport(&res, response, sent, time.Now())
	if res.Response != nil && r.BufferBytes > 0 {
		res.buffer(r.BufferBytes)
	}
	if hasExpired(ctx) { // the deadline passed while the response arrived
		_ = response.Body.Close() // also closes the connection
		release()
		res = lateResult(res.Verdict)
	}
	res.Report, res.connected, res.WrittenAt = report, true, tracker.writtenAt()
	res.Carrier, res.Tunnel = tracker.via()
	return res
}

// outgoingRequest returns the HTTP request to send to the endpoint. remaining is the time left
// until its deadline.
func (c *Client) outgoingRequest(ctx context.Context, r Request, remaining time.Duration) *http.Request {
	u := &url.URL{
		Scheme: "http", Host: r.Addr, Path: r.Incoming.URL.Path, RawPath: r.Incoming.URL.RawPath,
		RawQuery: r.Incoming.URL.RawQuery, ForceQuery: r.Incoming.URL.ForceQuery,
	}
	out := &http.Request{
		Method:        r.Incoming.Method,
		URL:           u,
		Host:          r.Incoming.Host,
		Header:        r.Incoming.Header.Clone(),
		Body:          r.Body.Attempt(),
		ContentLength: r.Incoming.ContentLength,
		Trailer:       r.Incoming.Trailer,
	}
	out.Header.Set(c.dialect.RequestID, r.ID)
	out.Header.Set(c.dialect.Timeout, c.dialect.FormatTimeout(remaining))
	if c.dialect.Instance != "" && r.Instance != "" {
		out.Header.Set(c.dialect.Instance, r.Instance)
	}
	return out.WithContext(ctx)
}
