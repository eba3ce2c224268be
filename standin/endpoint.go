package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/upstream"
)

// EndpointOptions of an endpoint stand-in.
type EndpointOptions struct {
	Slots       int           // requests served at a time; default 3
	Queue       int           // requests that wait for a slot before others are shed
	ServiceTime time.Duration // mean; default 20 ms
	Spread      float64       // of the logarithm of service times; 0 for none
	ColdFor     time.Duration // how long after start it reports cold
	// Limit is what it names as the requests a second that it takes from all balancers
	// together, as text; empty for none.
	Limit string
	// RetryAfter is for how many seconds it wants no requests when it sheds one, as text; empty for
	// nothing said.
	RetryAfter string
	ProbeTime  time.Duration // of a GET of /healthz
}

// Behavior of an endpoint that can be switched while it runs.
type Behavior struct {
	Draining bool    `json:"draining"`  // say so; work that still arrives is run
	Slowness float64 `json:"slowness"`  // factor on service times; 0 for 1
	FailFast bool    `json:"fail_fast"` // answer 503 at once, without a verdict
	Shed     bool    `json:"shed"`      // answer not-run at once
	Limit    string  `json:"limit"`     // requests a second that it names; empty for those of its options

	RetryAfter string `json:"retry_after"` // with what it sheds; empty for that of its options
}

// Run is one request that an endpoint ran.
type Run struct {
	Key   string // of the caller: its Idempotency-Key or X-Request-Key
	Path  string
	Began time.Time
	State placement.LoadState // of the endpoint when the request began
}

// Endpoint is the stand-in of a server behind the balancer.
type Endpoint struct {
	opts    EndpointOptions
	started time.Time
	slots   chan struct{} // filled by requests being served

	mu       sync.Mutex
	behavior Behavior
	inFlight int
	runs     []Run
	probes   int
}

// KeyHeader names a request for those who count how often it ran.
const KeyHeader = "X-Request-Key"

// NewEndpoint returns an endpoint.
func NewEndpoint(opts EndpointOptions) *Endpoint {
	if opts.Slots == 0 {
		opts.Slots = 3
	}
	if opts.ServiceTime == 0 {
		opts.ServiceTime = 20 * time.Millisecond
	}
	return &Endpoint{opts: opts, started: time.Now(), slots: make(chan struct{}, opts.Slots)}
}

// Set replaces the behavior.
func (e *Endpoint) Set(b Behavior) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behavior = b
}

// Runs returns the requests that ran so far.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Probes returns how many probes were answered.
func (e *Endpoint) Probes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.probes
}

// ServeHTTP serves requests, probes and the switches.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz":
		e.probe(w)
	case r.URL.Path == "/standin/behavior" && r.Method == http.MethodPut:
		var b Behavior
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.Set(b)
	case r.URL.Path == "/standin/runs":
		writeJSON(w, e.Runs())
	default:
		e.serve(w, r)
	}
}

func (e *Endpoint) probe(w http.ResponseWriter) {
	time.Sleep(e.opts.ProbeTime)
	e.mu.Lock()
	e.probes++
	e.report(w)
	e.mu.Unlock()
	_, _ = io.WriteString(w, "ok\n")
}

// state returns the endpoint's own word about itself. e.mu is held.
func (e *Endpoint) state() placement.LoadState {
	switch {
	case e.behavior.Draining:
		return placement.Draining
	case time.Since(e.started) < e.opts.ColdFor:
		return placement.Cold
	}
	return placement.Live
}

func (e *Endpoint) report(w http.ResponseWriter) {
	load := placement.LoadReport{InFlight: e.inFlight, Slots: e.opts.Slots, State: e.state()}
	w.Header().Set(upstream.LoadHeader, upstream.FormatLoad(load))
	if limit := cmp.Or(e.behavior.Limit, e.opts.Limit); limit != "" {
		w.Header().Set(upstream.LimitHeader, limit)
	}
}

// begin takes a slot and records the run; the answer to a refusal is sent by
// the caller of begin.
func (e *Endpoint) begin(w http.ResponseWriter, r *http.Request) (ok bool, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.report(w)
	if id := r.Header.Get(upstream.RequestIDHeader); id != "" {
		w.Header().Set(upstream.RequestIDHeader, id)
	}
	run := Run{Key: r.Header.Get(KeyHeader), Path: r.URL.Path, Began: time.Now(), State: e.state()}
	if e.behavior.FailFast {
		e.runs = append(e.runs, run) // a bare failure says nothing about what ran
		return false, http.StatusServiceUnavailable
	}
	if e.behavior.Shed || e.inFlight >= e.opts.Slots+e.opts.Queue {
		w.Header().Set(verdict.Header, verdict.NotRun.String())
		if after := cmp.Or(e.behavior.RetryAfter, e.opts.RetryAfter); after != "" {
			w.Header().Set("Retry-After", after)
		}
		return false, http.StatusServiceUnavailable
	}
	e.inFlight++
	e.runs = append(e.runs, run)
	return true, 0
}

func (e *Endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	ok, status := e.begin(w, r)
	if !ok {
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer e.end()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.EqualFold(r.Header.Get("Upgrade"), "echo") {
		e.echo(w)
		return
	}
	if !e.work(r.Context(), r.Header.Get(upstream.TimeoutHeader)) {
		return // cancelled: nobody reads the answer
	}
	_, _ = fmt.Fprintf(w, "key=%s path=%s body=%s\n", r.Header.Get(KeyHeader), r.URL.Path, body)
}

// work takes the service time, less where the caller cancels or its deadline
// passes.
func (e *Endpoint) work(ctx context.Context, timeout string) bool {
	if d, err := time.ParseDuration(timeout); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.slots }()
	select {
	case <-time.After(e.serviceTime()):
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Endpoint) serviceTime() time.Duration {
	e.mu.Lock()
	slowness := max(e.behavior.Slowness, 1)
	e.mu.Unlock()
	// A log-normal distribution whose mean is ServiceTime.
	s := e.opts.Spread
	factor := math.Exp(s*rand.NormFloat64() - s*s/2)
	return time.Duration(float64(e.opts.ServiceTime) * slowness * factor)
}

// echo serves an upgraded session that sends back what it receives.
func (e *Endpoint) echo(w http.ResponseWriter) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n")
	_, _ = io.Copy(conn, buffered)
}
