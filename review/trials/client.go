//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// outcome is what a client saw of a request.
type outcome struct {
	id     string
	to     string
	sent   time.Time
	status int // 0 for no head of an answer
	bytes  int
	whole  bool // the answer is the server's whole one
	ended  bool // the answer, or the connection, ended before the client's deadline
	err    error
	took   time.Duration
}

// String returns the outcome as the record shows it.
func (o outcome) String() string {
	return fmt.Sprintf("request %s to %s: status %d, %d bytes, whole %t, ended %t, after %d ms, error %v",
		o.id, o.to, o.status, o.bytes, o.whole, o.ended, o.took.Milliseconds(), o.err)
}

// newClient returns a client that keeps its connections, as the pages say.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}
}

// get sends a GET request and waits until its answer ends, or until the client's deadline.
func get(c *http.Client, to, host, path, id string, deadline time.Duration) outcome {
	o := outcome{id: id, to: to, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to+path, nil)
	if err != nil {
		o.err = err
		return o
	}
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := c.Do(r)
	if err == nil {
		o.status = resp.StatusCode
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o.bytes = len(body)
		o.whole = err == nil && resp.StatusCode == http.StatusOK && bytes.Equal(body, content(id, len(body))) &&
			resp.Header.Get("Response-Signature") == platformtest.Signature(id, string(body))
	}
	o.err, o.took = err, time.Since(o.sent)
	o.ended = ctx.Err() == nil
	return o
}
