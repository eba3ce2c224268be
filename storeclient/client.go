// Package storeclient calls the product's own form of the key-value service over
// HTTP: that of package coord/store, which the stand-in speaks and deployments with
// homes use. The operators' platform has another form; its client is in package
// platform.
//
// A Client bounds its own rate, and after a few failures in a row it answers
// ErrUnavailable at once for a while, so that a service that is down costs its
// callers nothing. Each error is one of those of package store.
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
	defaultTimeout  = 2 * time.Second
	defaultRate     = 20              // calls a second
	tripAfter       = 3               // failures in a row, after which the service is left alone
	cooldown        = 2 * time.Second // for which it is
	idleConnections = 2
)

// Options configures a Client. Zero fields take the defaults.
type Options struct {
	Timeout time.Duration // of one call other than a watch; default 2 s
	Rate    int           // calls a second that this client may make; default 20
}

// Client calls the service. It is safe for concurrent use.
type Client struct {
	base string
	opts Options
	http *http.Client

	mu       sync.Mutex
	tokens   float64
	updated  time.Time
	failures int
	until    time.Time // calls are refused before this time
}

// New returns a client of the service at base, such as
// "http://127.0.0.1:7400".
func New(base string, opts Options) *Client {
	opts.Timeout = cmp.Or(opts.Timeout, defaultTimeout)
	opts.Rate = cmp.Or(opts.Rate, defaultRate)
	connections := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	return &Client{base: base, opts: opts, http: &http.Client{Transport: connections}, tokens: float64(opts.Rate)}
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	return c.call(ctx, http.MethodGet, "/v1/kv/"+url.PathEscape(key), nil)
}

// CompareAndSwap writes a key if it still has the revision that w names.
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

// Watch waits until the key has a revision above after, for at most wait, and
// returns the entry, or ErrNotFound when nothing changed.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.opts.Timeout)
	defer cancel()
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	return c.call(ctx, http.MethodGet, "/v1/watch/"+url.PathEscape(key)+"?"+q.Encode(), nil)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) (store.Entry, error) {
	if err := c.admit(time.Now()); err != nil {
		return store.Entry{}, err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return store.Entry{}, fmt.Errorf("store: %w", err)
	}
	// Without GetBody the transport never sends a write twice on its own.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		c.failed(time.Now())
		return store.Entry{}, lostAnswer(method, err)
	}
	defer func() { _ = resp.Body.Close() }() // read to its end, or given up
	entry, err := decode(method, resp)
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) {
		c.failed(time.Now())
		return entry, err
	}
	c.succeeded()
	return entry, err
}

// lostAnswer tells a write that never left from one whose answer was lost.
func lostAnswer(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUnknown, err)
}

func decode(method string, resp *http.Response) (store.Entry, error) {
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
		return store.Entry{}, lostAnswer(method, fmt.Errorf("status %s", resp.Status))
	}
	var entry store.Entry
	if err := json.NewDecoder(io.LimitReader(resp.Body, 2*store.MaxValue)).Decode(&entry); err != nil {
		return store.Entry{}, lostAnswer(method, err)
	}
	return entry, nil
}

// admit takes a token of the client's own rate and respects the cooldown.
func (c *Client) admit(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.until) {
		return fmt.Errorf("%w: left alone after %d failures", store.ErrUnavailable, c.failures)
	}
	rate := float64(c.opts.Rate)
	if !c.updated.IsZero() {
		c.tokens = min(rate, c.tokens+now.Sub(c.updated).Seconds()*rate)
	}
	c.updated = now
	if c.tokens < 1 {
		return fmt.Errorf("%w: client limit of %d a second", store.ErrRateLimited, c.opts.Rate)
	}
	c.tokens--
	return nil
}

func (c *Client) failed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	if c.failures >= tripAfter {
		c.until = now.Add(cooldown)
	}
}

func (c *Client) succeeded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = 0
}
