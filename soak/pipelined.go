package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/access"
)

// mostPipelined is how many requests a caller sends at once on a connection.
const mostPipelined = 5

// callPipelined sends several requests on a connection of their own before the first
// has its answer, the last of them sometimes one that must run once. Answers come in
// the order of the requests; one that closes the connection leaves those behind it
// unread.
func (c *caller) callPipelined(n int, b *balancer) {
	requests, text := c.drawPipelined(n, b)
	conn, err := net.DialTimeout("tcp", b.listen, routeTimeout)
	if err != nil {
		c.endUnanswered(requests, false)
		return
	}
	defer func() { _ = conn.Close() }() // whatever it says
	_ = conn.SetDeadline(time.Now().Add(time.Duration(len(requests)+1) * routeTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		c.endUnanswered(requests, false)
		return
	}
	in := bufio.NewReader(conn)
	for i, r := range requests {
		closed, ok := c.readAnswer(in, r)
		if !ok || closed {
			c.endUnanswered(requests[i+1:], closed)
			return
		}
		if i+1 < len(requests) && !requests[i+1].repeatable {
			requests[i+1].at = time.Now() // it begins with its turn, and so does its time
		}
	}
}

// drawPipelined draws requests and returns them with the bytes to send.
func (c *caller) drawPipelined(n int, b *balancer) ([]*sentRequest, string) {
	var requests []*sentRequest
	var text strings.Builder
	count := 2 + c.rng.IntN(mostPipelined-1)
	for i := range count {
		prefix := []string{readPrefix, movePrefix}[c.rng.IntN(2)]
		if i == count-1 && c.rng.IntN(3) == 0 {
			prefix = filePrefix
		}
		r := &sentRequest{
			id: fmt.Sprintf("c%d-%d-%d", c.number, n, i), method: http.MethodGet, path: fmt.Sprintf("%s%d?n=%d-%d", prefix, c.number, n, i),
			repeatable: prefix != filePrefix, balancer: b.id, at: time.Now(), team: c.team, key: c.present(),
		}
		// One that must run once is a GET, too: what may begin early is decided by its
		// route, not by its method.
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n",
			r.path, host, dialect.RequestID, r.id, dialect.Timeout, dialect.FormatTimeout(routeTimeout))
		if r.key != "" {
			fmt.Fprintf(&text, "%s: %s%s\r\n", access.AuthorizationHeader, bearer, r.key)
		}
		text.WriteString("\r\n")
		c.ledger.begin(r)
		requests = append(requests, r)
	}
	return requests, text.String()
}

// readAnswer reads the next answer, which belongs to r. It reports whether the answer
// closes the connection and whether there was a whole one.
func (c *caller) readAnswer(in *bufio.Reader, r *sentRequest) (closed, ok bool) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		c.ledger.end(r, 0, time.Now())
		return false, false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.ledger.end(r, 0, time.Now())
		return false, false
	}
	c.ledger.checkStatus(r, resp.StatusCode)
	if resp.StatusCode == http.StatusOK {
		c.ledger.checkAnswer(r, resp, string(body), "")
	}
	c.ledger.end(r, resp.StatusCode, time.Now())
	return resp.Close, true
}

// endUnanswered notes requests that got no answer. Those behind an answer that closed
// the connection count as not read.
func (c *caller) endUnanswered(requests []*sentRequest, unread bool) {
	for _, r := range requests {
		c.ledger.endUnread(r, unread)
	}
}
