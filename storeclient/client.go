// Package storeclient is an HTTP client of a key-value service that has the product's
// own API, with the types of package coord/store. Deployments with homes use this API,
// and package standin implements it for tests. The operators' platform has another API;
// its client is in package platform.
//
// A Client limits its own call rate. After 3 consecutive failures a circuit breaker
// opens: for 2 s each call returns ErrUnavailable without contacting the service, so
// that callers do not wait for a service that is down. An error of the service or of
// the connection wraps one of the errors of package store.
//
// # Usage
//
//	c := storeclient.New("http://127.0.0.1:7400", storeclient.Options{})
//	e, err := c.Get(ctx, "config/bennani")
package storeclient

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/store"
)

const (
	defaultTimeout   = 2 * time.Second
	defaultRate      = 20              // calls per second
	failureThreshold = 3               // consecutive failures that open the circuit breaker
	cooldown         = 2 * time.Second // how long the circuit breaker stays open
	maxIdleConns     = 2               // kept open to the service
	maxHeaderBytes   = 64 << 10        // of a response
)

// Options configures a Client. Zero fields take the defaults.
type Options struct {
	Timeout time.Duration // of one call, default 2 s; a watch adds its own wait to it
	Rate    int           // calls per second that this client may make; default 20
}

// Client calls the service. It is safe for concurrent use.
type Client struct {
	base string
	opts Options
	http *http.Client

	mu                  sync.Mutex
	tokens              float64   // in the token bucket of the rate limiter
	refilledAt          time.Time // when tokens was last updated
	consecutiveFailures int
	openUntil           time.Time // the circuit breaker is open until this time
}

// New returns a client of the service at the base URL, for example
// "http://127.0.0.1:7400".
func New(base string, opts Options) *Client {
	opts.Timeout = cmp.Or(opts.Timeout, defaultTimeout)
	opts.Rate = cmp.Or(opts.Rate, defaultRate)
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Client{base: base, opts: opts, http: &http.Client{Transport: transport}, tokens: float64(opts.Rate)}
}

// Get returns the entry of a key, or store.ErrNotFound if the key has no value.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	return c.call(ctx, http.MethodGet, "/v1/kv/"+url.PathEscape(key), nil)
}

// CompareAndSwap writes a key if its revision is still w.Revision, and returns the
// new entry. Otherwise it returns store.ErrConflict. After store.ErrUnknown, the write may
// or may not have taken effect. A value of more than store.MaxValue bytes is not sent.
func (c *Client) CompareAndSwap(ctx context.Context, w store.Write) (store.Entry, error) {
	if len(w.Value) > store.MaxValue {
		return store.Entry{}, fmt.Errorf("store: value of %d bytes exceeds %d", len(w.Value), store.MaxValue)
	}
	body, err := json.Marshal(w)
	if err != nil {
		return store.Entry{}, fmt.Errorf("store: encode write: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	return c.call(ctx, http.MethodPut, "/v1/kv/"+url.PathEscape(w.Key), body)
}

// Watch waits for at most wait until the revision of the key is greater than after. It
// returns the entry, or store.ErrNotFound if there was no such change.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.opts.Timeout)
	defer cancel()
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	return c.call(ctx, http.MethodGet, "/v1/watch/"+url.PathEscape(key)+"?"+q.Encode(), nil)
}

// call sends one request, subject to the rate limit and the circuit breaker, and
// records its result for the circuit breaker.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (store.Entry, error) {
	if err := c.allow(time.Now()); err != nil {
		return store.Entry{}, err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return store.Entry{}, fmt.Errorf("store: %w", err)
	}
	// Without GetBody the transport cannot resend the body, so it never retries a write.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		c.recordFailure(time.Now())
		return store.Entry{}, unavailableOrUnknown(method, err)
	}
	defer func() { _ = resp.Body.Close() }() // a close error does not matter: the response was read or is abandoned
	entry, err := decodeResponse(method, resp)
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) {
		c.recordFailure(time.Now())
		return entry, err
	}
	c.recordSuccess()
	return entry, err
}

// unavailableOrUnknown wraps the error of a call without a usable response: in
// store.ErrUnknown if the call was a write that may have taken effect, and in
// store.ErrUnavailable if it was a read or no connection was made.
func unavailableOrUnknown(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUnknown, err)
}

// decodeResponse returns the entry in a response, or the error for its status.
func decodeResponse(method string, resp *http.Response) (store.Entry, error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusNotModified:
		return store.Entry{}, store.ErrNotFound
	case http.StatusConflict:
		return store.Entry{}, store.ErrConflict
	case http.StatusTooManyRequests:
		return store.Entry{}, store.ErrRateLimited
	case http.StatusServiceUnavailable:
		return store.Entry{}, store.ErrUnavailable
	default:
		return store.Entry{}, unavailableOrUnknown(method, fmt.Errorf("status %s", resp.Status))
	}
	var entry store.Entry
	// The limit leaves room for the other fields and for base64, which makes the value a third longer.
	if err := json.NewDecoder(io.LimitReader(resp.Body, 2*store.MaxValue)).Decode(&entry); err != nil {
		return store.Entry{}, unavailableOrUnknown(method, err)
	}
	return entry, nil
}

// allow takes a token from the client's rate limiter, a token bucket. It returns
// store.ErrUnavailable while the circuit breaker is open and store.ErrRateLimited if no
// token is left.
func (c *Client) allow(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.openUntil) {
		return fmt.Errorf("%w: circuit breaker open after %d consecutive failures", store.ErrUnavailable, c.consecutiveFailures)
	}
	rate := float64(c.opts.Rate)
	if !c.refilledAt.IsZero() {
		c.tokens = min(rate, c.tokens+now.Sub(c.refilledAt).Seconds()*rate)
	}
	c.refilledAt = now
	if c.tokens < 1 {
		return fmt.Errorf("%w: client limit of %d calls per second", store.ErrRateLimited, c.opts.Rate)
	}
	c.tokens--
	return nil
}

// recordFailure counts a failed call and opens the circuit breaker from the
// failureThreshold-th consecutive failure on.
func (c *Client) recordFailure(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.consecutiveFailures++
	if c.consecutiveFailures >= failureThreshold {
		c.openUntil = now.Add(cooldown)
	}
}

// recordSuccess resets the count of consecutive failures.
func (c *Client) recordSuccess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.consecutiveFailures = 0
}
