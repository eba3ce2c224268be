package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/access"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/platform"
)

// Paths of the soak's routes.
const (
	readPrefix = "/read/" // repeatable, to service alpha
	filePrefix = "/file/" // not repeatable, to service beta
	movePrefix = "/move/" // repeatable, to either
	slowPrefix = "/slow/" // repeatable, to service slow; only with stops in series
)

// dialect is the table of header names that callers and endpoints use.
var dialect = platform.Dialect()

const (
	host         = "soak.example"
	routeTimeout = 2 * time.Second
	callerPause  = 25 * time.Millisecond
)

func (r *sentRequest) prefix() string {
	second := strings.IndexByte(r.path[1:], '/')
	return r.path[:second+2]
}

// caller sends one request after the other, on connections that it keeps until
// their process is gone.
type caller struct {
	number    int
	balancers []*balancer
	ledger    *ledger
	rng       *rand.Rand
	client    *http.Client
	pause     time.Duration // mean, between two requests
	team      string
	key       func() string // nil for none
}

func newCaller(number int, balancers []*balancer, l *ledger, rng *rand.Rand) *caller {
	return &caller{
		number: number, balancers: balancers, ledger: l, rng: rng, pause: callerPause,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 2 * routeTimeout},
	}
}

// newCaller returns a caller of the world's balancers, with a key where callers need one.
func (w *world) newCaller(number int, rng *rand.Rand) *caller {
	c := newCaller(number, w.balancers, w.sent, rng)
	if w.teams != nil {
		c.team, c.key = commonTeam, func() string { return w.teams.key(commonTeam) }
	}
	return c
}

func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if b := c.choose(); b != nil {
			c.send(n, b)
		}
		select {
		case <-time.After(time.Duration(c.rng.Int64N(int64(2 * c.pause)))):
		case <-ctx.Done():
		}
	}
	c.client.CloseIdleConnections()
}

// pipelinedOf is one in how many times a caller sends several requests at once.
const pipelinedOf = 4

func (c *caller) send(n int, b *balancer) {
	if c.rng.IntN(pipelinedOf) == 0 {
		c.callPipelined(n, b)
		return
	}
	c.call(n, b)
}

// choose returns a balancer that takes new connections, or one that is being
// stopped, to which a kept connection may still be open.
func (c *caller) choose() *balancer {
	first := c.rng.IntN(len(c.balancers))
	for i := range c.balancers {
		b := c.balancers[(first+i)%len(c.balancers)]
		if b.takes() || c.rng.IntN(4) == 0 {
			return b
		}
	}
	return nil
}

func (c *caller) call(n int, b *balancer) {
	prefix := []string{readPrefix, filePrefix, movePrefix}[c.rng.IntN(3)]
	r := &sentRequest{
		id: fmt.Sprintf("c%d-%d", c.number, n), method: http.MethodGet, path: fmt.Sprintf("%s%d?n=%d", prefix, c.number, n),
		repeatable: prefix != filePrefix, balancer: b.id, at: time.Now(), team: c.team, key: c.present(),
	}
	payload := ""
	if !r.repeatable {
		r.method, payload = http.MethodPost, strings.Repeat("p", c.rng.IntN(5000))
	}
	req, err := http.NewRequest(r.method, "http://"+b.listen+r.path, strings.NewReader(payload))
	if err != nil {
		panic("soak: " + err.Error())
	}
	req.Host = host
	req.GetBody = nil // the caller's own transport must send nothing twice
	req.Header.Set(dialect.RequestID, r.id)
	req.Header.Set(dialect.Timeout, dialect.FormatTimeout(routeTimeout))
	if r.key != "" {
		req.Header.Set(access.AuthorizationHeader, bearer+r.key)
	}
	c.ledger.begin(r)
	status := c.exchange(req, r, payload)
	c.ledger.end(r, status, time.Now())
}

// bearer begins what a caller sends of its key.
const bearer = "Bearer "

// present returns the caller's key; empty for none.
func (c *caller) present() string {
	if c.key == nil {
		return ""
	}
	return c.key()
}

// exchange sends a request and returns the status of a whole answer, or 0.
func (c *caller) exchange(req *http.Request, r *sentRequest, payload string) int {
	if r.method == http.MethodGet {
		req.Body = nil
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	r.reason = reason.Code(resp.Header.Get("Lotuswing-Reason"))
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	c.ledger.checkStatus(r, resp.StatusCode)
	if resp.StatusCode == http.StatusOK {
		c.ledger.checkAnswer(r, resp, string(body), payload)
	}
	return resp.StatusCode
}
