package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/tenant"
)

// Requests that crash whatever runs them come again and again, at any balancer, one after
// the other and many at once, for a service of their own, whose endpoints start again after a
// while under the identity that they had or another one; beside them come sound requests of
// the same service. Other writers damage entries. VMs of balancers are suspended: their
// clocks tell it, which is all that a process can know of it. These faults strike beside the
// others, drawn from numbers of their own, so that the plays of seeds without them stay what
// they were.

const (
	serviceFragile  = "fragile"
	fragilePrefix   = "/fragile/"
	crashText       = "crash"
	fragileCount    = 10 // endpoints
	fragileRestart  = 1200 * time.Millisecond
	soundCallers    = 3
	soundPause      = 40 * time.Millisecond
	mostSuspended   = 8 * time.Second
	crashesEach     = 30 // calls of a series, at most
	crashesAtOnce   = 4
	crashPaths      = 5                      // different ones
	betweenCrashes  = 300 * time.Millisecond // mean
	comesBackAfter  = 4 * time.Second        // now and then
	crashKinds      = 5
	crashCallWithin = 4 * time.Second

	// knownWithin is after how long a fleet knows a request under which three endpoints have
	// ended, and mostKnown how often it may be sent after that.
	knownWithin = touchTime + 500*time.Millisecond // an attempt may be under way
	mostKnown   = 3
)

// crashCall is one call with a crashing request, and where and when it was made.
type crashCall struct {
	path     string
	balancer string
	from, to time.Time
}

// crashes is the part of a soak about requests that crash endpoints.
type crashes struct {
	w         *world
	client    *http.Client
	processes []*platformtest.Process

	mu    sync.Mutex
	calls []crashCall
	sent  int
}

// fragileRoute is the route to the endpoints that crash.
func fragileRoute() tenant.PrefixRoute {
	return tenant.PrefixRoute{
		Name: "fragile", Host: host, Prefix: fragilePrefix, Repeatable: true, Public: true, Timeout: routeTimeout, Target: routeTimeout / 4, MaxAttempts: 2,
		Split: []tenant.Share{{Service: serviceFragile, Weight: 1}},
	}
}

// startFragile starts the endpoints that crash.
func (w *world) startFragile() (*crashes, error) {
	c := &crashes{w: w, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: crashCallWithin}}
	for i := range fragileCount {
		p, err := platformtest.StartProcess(w.store, platformtest.ProcessConfig{
			ID: fmt.Sprintf("i-%s-%d", serviceFragile, i), Service: serviceFragile, Zone: zoneName(i % zones), RestartAfter: fragileRestart,
			NewID: i%2 == 0, Behavior: platformtest.Behavior{ServiceTime: endpointWork, Slots: endpointSlots, CrashOn: crashText},
		})
		if err != nil {
			c.stop()
			return nil, err
		}
		c.processes = append(c.processes, p)
	}
	return c, nil
}

// stop ends the endpoints.
func (c *crashes) stop() {
	for _, p := range c.processes {
		p.Stop()
	}
}

// strike lets the faults of this file strike, a mean gap apart, until ctx ends.
func (c *crashes) strike(ctx context.Context, gap time.Duration, rng *rand.Rand, report func(string)) {
	var series sync.WaitGroup
	defer series.Wait()
	for number := 0; ; number++ {
		pause.For(ctx, time.Duration(rng.Int64N(int64(2*gap))))
		if ctx.Err() != nil {
			return
		}
		kind := rng.IntN(crashKinds)
		seed := rng.Uint64()
		switch kind {
		case 0, 1:
			report("request crashes endpoints")
			series.Go(func() {
				c.crashSeries(ctx, fmt.Sprintf("%s%s-%d", fragilePrefix, crashText, number%crashPaths), rand.New(rand.NewPCG(seed, 0)))
			})
		case 2:
			report("endpoint crashes by itself")
			c.processes[rng.IntN(len(c.processes))].Crash()
		case 3:
			report("entry damaged")
			c.damage(rng)
		default:
			report("suspended")
			c.suspend(rng)
		}
	}
}

// crashSeries sends a crashing request again and again, some of them many at once, with and
// without a query.
func (c *crashes) crashSeries(ctx context.Context, path string, rng *rand.Rand) {
	for range 1 + rng.IntN(crashesEach) {
		var together sync.WaitGroup
		count := 1
		if rng.IntN(4) == 0 {
			count = crashesAtOnce
		}
		for range count {
			b := c.w.balancers[rng.IntN(len(c.w.balancers))]
			target := path
			if rng.IntN(3) == 0 {
				target += fmt.Sprintf("?page=%d", rng.IntN(2))
			}
			together.Go(func() { c.call(b, path, target) })
		}
		together.Wait()
		pause.For(ctx, time.Duration(rng.Int64N(int64(2*betweenCrashes))))
		if rng.IntN(3) == 0 {
			pause.For(ctx, comesBackAfter)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// call makes one call with a crashing request.
func (c *crashes) call(b *balancer, path, target string) {
	from := time.Now()
	_, _ = c.get(b, target) // nothing can be served
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, crashCall{path: path, balancer: b.id, from: from, to: time.Now()})
}

// get calls a balancer and returns the status and the reason of an answer of its own.
func (c *crashes) get(b *balancer, target string) (status int, reason string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+b.listen+target, nil)
	if err != nil {
		panic("soak: " + err.Error())
	}
	c.mu.Lock()
	c.sent++
	r.Header.Set(dialect.RequestID, fmt.Sprintf("crash-%d", c.sent))
	c.mu.Unlock()
	r.Host = host
	r.Header.Set(dialect.Timeout, dialect.FormatTimeout(routeTimeout))
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // the header has said it
	return resp.StatusCode, resp.Header.Get("Lotuswing-Reason")
}

// sound sends sound requests to the endpoints that crash, always for the same path, until ctx
// ends. None of them may be refused for what others did.
func (c *crashes) sound(ctx context.Context, number int, rng *rand.Rand, l *ledger) {
	path := fmt.Sprintf("%ssound-%d", fragilePrefix, number)
	for ctx.Err() == nil {
		b := c.w.balancers[rng.IntN(len(c.w.balancers))]
		if status, reason := c.get(b, path); reason == quarantined {
			l.broken(NoSoundRefused, path, "%s answered %d with %s", b.id, status, reason)
		}
		pause.For(ctx, time.Duration(rng.Int64N(int64(2*soundPause))))
	}
}

// quarantined is the reason code of a request that is refused because endpoints ended.
const quarantined = "LW2010"

// damage writes something else in the place of an entry, which its server writes again after
// a while.
func (c *crashes) damage(rng *rand.Rand) {
	c.w.mu.Lock()
	e := c.w.current[rng.IntN(len(c.w.current))]
	c.w.mu.Unlock()
	values := []string{"", "null", "{}", "[1]", "\xff\x00", `{"address":17}`, `{"address":"127.0.0.1:1","info":{},"status":{"state":"resting"}}`}
	c.w.store.PutRaw(e.server.ID, []byte(values[rng.IntN(len(values))]))
	c.w.store.PutRaw(fmt.Sprintf("foreign-%d", rng.IntN(3)), []byte(values[rng.IntN(len(values))]))
	c.w.ends.Go(func() {
		pause.For(c.w.ctx, time.Second)
		c.w.mu.Lock()
		defer c.w.mu.Unlock()
		if e.left.IsZero() {
			c.w.list(e, 0)
		}
	})
}

// suspend lets a balancer's clocks say that its VM was suspended for some seconds.
func (c *crashes) suspend(rng *rand.Rand) {
	b := c.w.drawFrom(rng)
	d := time.Duration(rng.Int64N(int64(mostSuspended)))
	from := time.Now()
	if err := b.suspend(d); err != nil {
		c.w.log.Error("not suspended", "id", b.id, "error", err)
	}
	c.w.calendar.disturb(b.id, from, time.Now())
}

// drawFrom draws a balancer with numbers of the caller's own.
func (w *world) drawFrom(rng *rand.Rand) *balancer { return w.balancers[rng.IntN(len(w.balancers))] }

// checkCrashes counts how often a request was sent by balancers that were left alone, later
// than knownWithin after the third end under it.
func (c *crashes) checkCrashes(l *ledger, cal *calendar) {
	ends := map[string][]time.Time{}
	for _, p := range c.processes {
		for _, end := range p.Ends() {
			ends[end.Path] = append(ends[end.Path], end.At)
		}
	}
	cal.mu.Lock()
	defer cal.mu.Unlock()
	for path, at := range ends {
		if path == "" || len(at) < 3 {
			continue
		}
		slices.SortFunc(at, time.Time.Compare)
		late := 0
		for _, end := range at[3:] {
			if end.Sub(at[2]) > knownWithin && c.sentQuietly(cal, path, at[2], end) {
				late++
			}
		}
		if late > mostKnown {
			l.broken(CrashesEnd, path, "%d endpoints ended under it, %d of them late", len(at), late)
		}
	}
}

// sentQuietly reports whether all calls that may have ended an endpoint at a time were made
// to balancers that nothing disturbed since the third end, the store included.
func (c *crashes) sentQuietly(cal *calendar, path string, third, at time.Time) bool {
	found := false
	for _, call := range c.calls {
		if call.path != path || call.from.After(at) || call.to.Before(at) {
			continue
		}
		if !cal.quiet(call.balancer, third, at) {
			return false
		}
		found = true
	}
	return found
}
