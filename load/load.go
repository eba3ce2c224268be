// Package load makes open-loop load: requests begin when the plan says so,
// however slow the answers are, and latency counts from the intended start.
//
// It owns the requests that it makes; lotusctl load, the demo and the process tests use
// it.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Plan{Target: "http://127.0.0.1:8080", Host: "medina.bennani", Rate: 100, For: 10 * time.Second})
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/standin"
)

const (
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	digits         = 3
)

// Plan of a load.
type Plan struct {
	Targets []string // base URLs, used in turn
	Host    string
	Method  string
	Path    string
	Body    string
	Rate    float64 // requests a second
	For     time.Duration
	Timeout time.Duration // of one request; default 30 s
	Client  *http.Client
	// Pipeline is how many requests may wait on a connection for their answers, where
	// there is no Client; up to 1 for one at a time.
	Pipeline int
	Name     string                     // begins the key of each request
	Check    func(key string, a Answer) // called for each answer; may be nil
}

// Answer is what a caller saw.
type Answer struct {
	Target  string // base URL that the request was sent to
	Status  int
	Verdict string
	Reason  string
	Body    string
	Whole   bool // the body arrived to its end
	Err     error
}

// Report counts what callers saw.
type Report struct {
	Calls, Ran, NotRun, MayHaveRun, Broken int64
	Reasons                                map[string]int64

	mu      sync.Mutex
	latency *hdrhistogram.Histogram // microseconds, of requests that ran
}

// Quantile returns a latency of the requests that ran.
func (r *Report) Quantile(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latency.ValueAtQuantile(q*100)) * time.Microsecond
}

func newReport() *Report {
	return &Report{Reasons: map[string]int64{}, latency: hdrhistogram.New(1, highestLatency, digits)}
}

func (r *Report) add(a Answer, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls++
	if a.Reason != "" {
		r.Reasons[a.Reason]++
	}
	switch {
	case a.Err != nil || !a.Whole:
		r.Broken++
	case a.Verdict == verdict.Ran.String():
		r.Ran++
		_ = r.latency.RecordValue(min(took.Microseconds(), highestLatency))
	case a.Verdict == verdict.NotRun.String():
		r.NotRun++
	default:
		r.MayHaveRun++
	}
}

// Run makes the load and waits for the last answer.
func Run(ctx context.Context, p Plan) (*Report, error) {
	if p.Rate <= 0 || len(p.Targets) == 0 {
		return nil, errors.New("load: a rate above 0 and a target are needed")
	}
	if p.Timeout == 0 {
		p.Timeout = 30 * time.Second
	}
	if p.Client == nil {
		p.Client = &http.Client{Transport: transport(p.Pipeline)}
		defer p.Client.CloseIdleConnections()
	}
	report := newReport()
	rng := rand.New(rand.NewPCG(rand.Uint64(), 1))
	var wg sync.WaitGroup
	begin := time.Now()
	intended := begin
	for i := 0; intended.Sub(begin) < p.For && ctx.Err() == nil; i++ {
		if d := time.Until(intended); d > 0 {
			time.Sleep(d)
		}
		target := p.Targets[i%len(p.Targets)]
		key := fmt.Sprintf("%s-%d", p.Name, i)
		start := intended
		wg.Go(func() {
			a := p.call(ctx, target, key)
			report.add(a, time.Since(start))
			if p.Check != nil {
				p.Check(key, a)
			}
		})
		// Exponential gaps: arrivals of many independent callers.
		intended = intended.Add(time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second)))
	}
	wg.Wait()
	return report, nil
}

// transport returns one that lets so many requests wait on a connection.
func transport(pipeline int) http.RoundTripper {
	if pipeline > 1 {
		return NewPipeline(pipeline)
	}
	return &http.Transport{MaxIdleConnsPerHost: 256}
}

func (p Plan) call(ctx context.Context, target, key string) Answer {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	a := Answer{Target: target}
	req, err := http.NewRequestWithContext(ctx, p.Method, target+p.Path, strings.NewReader(p.Body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = p.Host
	req.GetBody = nil // a caller that does not repeat on its own
	req.Header.Set(standin.KeyHeader, key)
	resp, err := p.Client.Do(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a.Status, a.Body, a.Whole = resp.StatusCode, string(body), err == nil
	a.Verdict, a.Reason = resp.Header.Get(verdict.Header), resp.Header.Get(verdict.ReasonHeader)
	return a
}
