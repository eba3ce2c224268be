// Package demo runs the whole product in one process: the store, the list of
// VMs, both tenants' endpoints at today's sizes, three balancers and callers,
// with an endpoint that drains, one that turns slow and a change of
// configuration while it runs, and beside them balancers on the platform with a request that
// crashes endpoints, an endpoint that names a limit, one that leaves and one that wants no requests. It checks every promise that it can see.
//
// It owns all that it starts: start.go the parts, crash.go the balancers on the platform, limits.go an endpoint there that names a limit, words.go two that say in answers that they leave or want no requests, disturb.go what happens to them,
// report.go what is checked, progress.go what is shown meanwhile.
//
// # Usage
//
//	report, err := demo.Run(ctx, demo.Options{For: 10 * time.Second, Log: log})
//	fmt.Println(len(report.Violations))
package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/audit"
	"github.com/lotuswing/lotuswing/load"
	"github.com/lotuswing/lotuswing/server"
	"github.com/lotuswing/lotuswing/standin"
)

// Times of the demo.
const (
	readyWithin  = 15 * time.Second
	leavingGrace = 3 * time.Second // after which a leaving endpoint gets nothing
	sampleEvery  = 200 * time.Millisecond
	serviceTime  = 20 * time.Millisecond
	spread       = 0.8
	probeTime    = 6 * time.Millisecond
)

// Options of a run.
type Options struct {
	For time.Duration // 0 to run until ctx ends
	Log hclog.Logger
	// Show is called with what callers have been told so far, each ShowEvery; nil for never.
	Show      func(Progress)
	ShowEvery time.Duration
}

// pools are the endpoints of today, as the brief gives them.
var pools = []struct {
	tenant, service string
	endpoints       int
	zones           []string
}{
	{"bennani", "case-files", 10, []string{"medina", "tribunal", "ville-nouvelle", "back-room"}},
	{"bennani", "petitions", 8, []string{"medina", "tribunal", "ville-nouvelle", "back-room"}},
	{"bennani", "archives", 20, []string{"medina", "tribunal", "ville-nouvelle", "back-room"}},
	{"himsagar", "record-query", 7, []string{"ktm-1", "ktm-2", "ktm-3"}},
	{"himsagar", "credit-ledger", 6, []string{"ktm-1", "ktm-2", "ktm-3"}},
	{"himsagar", "usage-reports", 14, []string{"ktm-1", "ktm-2", "ktm-3"}},
}

// traffic is what callers ask for.
var traffic = []struct {
	tenant, kind, host, method, path string
	rate                             float64
	once                             bool
}{
	{"bennani", "case-look-up", "medina.bennani", http.MethodGet, "/cases/1", 60, false},
	{"bennani", "petition-filing", "tribunal.bennani", http.MethodPost, "/petitions", 30, true},
	{"bennani", "archive-query", "back-room.bennani", http.MethodPost, "/archives/old", 40, false},
	{"himsagar", "record-read", "fraud.himsagar", http.MethodGet, "/records/1", 60, false},
	{"himsagar", "dispute-credit", "billing.himsagar", http.MethodPost, "/credits", 20, true},
	{"himsagar", "history-export", "billing.himsagar", http.MethodPost, "/exports", 20, false},
}

// pipelined is how many look-ups may wait on a caller's connection for their answers.
const pipelined = 4

// run is the state of one demo.
type run struct {
	opts      Options
	store     *standin.Store
	storeURL  string
	endpoints map[string]*standin.Endpoint // by VM
	balancers []*server.Server
	closers   []func()
	started   time.Time
	progress  progress
	pace      pace

	mu       sync.Mutex
	told     []audit.Told
	versions map[string][]uint64 // seen in force, by balancer and document
	leaving  map[string]time.Time
	applied  map[string]uint64
}

// Run runs the demo.
func Run(ctx context.Context, opts Options) (*Report, error) {
	r := &run{
		opts: opts, endpoints: map[string]*standin.Endpoint{}, versions: map[string][]uint64{},
		leaving: map[string]time.Time{}, applied: map[string]uint64{}, started: time.Now(),
	}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	fleet, err := r.startCrashFleet(ctx)
	if err != nil {
		return nil, err
	}
	if opts.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, opts.For)
		defer cancel()
	}
	var background sync.WaitGroup
	paced, stopPace := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPace()
	go r.pace.run(paced)
	background.Go(func() { r.report(ctx) })
	background.Go(func() { r.sample(ctx) })
	background.Go(func() { r.disturb(ctx) })
	var crashing []Row
	background.Go(func() { crashing = fleet.callers(until(ctx, opts.For == 0), r.span(), &r.progress) })
	report := &Report{Rows: r.callers(ctx)}
	background.Wait()
	r.finish(report)
	report.Rows = append(report.Rows, crashing...)
	report.Violations = append(report.Violations, fleet.violations()...)
	return report, nil
}

// span returns for how long callers come.
func (r *run) span() time.Duration {
	if r.opts.For == 0 {
		return 365 * 24 * time.Hour
	}
	return r.opts.For
}

// callers make the traffic until ctx ends.
func (r *run) callers(ctx context.Context) []Row {
	rows := make([]Row, len(traffic))
	var targets []string
	for _, b := range r.balancers {
		targets = append(targets, "http://"+b.Addr())
	}
	span := r.span()
	var wg sync.WaitGroup
	for i, t := range traffic {
		wg.Go(func() {
			body := ""
			if t.method == http.MethodPost {
				body = "stamped"
			}
			pipeline := 1
			if t.method == http.MethodGet {
				pipeline = pipelined
			}
			p := load.Plan{
				Pipeline: pipeline,
				Targets:  targets, Host: t.host, Method: t.method, Path: t.path, Body: body,
				Rate: t.rate, For: span, Name: t.kind,
				Check: func(key string, a load.Answer) {
					r.progress.answered(t.tenant, t.kind, a)
					r.note(key, t.once, t.path, body, a)
				},
			}
			// The plan ends with its time, not with ctx, so that the last
			// answers arrive; an interrupt ends it early.
			report, err := load.Run(until(ctx, r.opts.For == 0), p)
			if err != nil {
				panic(fmt.Sprintf("demo: unreachable: %v", err))
			}
			rows[i] = Row{Tenant: t.tenant, Kind: t.kind, Load: report}
		})
	}
	wg.Wait()
	return rows
}

func until(ctx context.Context, interruptible bool) context.Context {
	if interruptible {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

func (r *run) note(key string, once bool, path, body string, a load.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, audit.Told{
		Key: key, Once: once, Failed: a.Err != nil, Status: a.Status, Verdict: a.Verdict, Reason: a.Reason,
		Whole: a.Whole, Body: a.Body, Want: fmt.Sprintf("key=%s path=%s body=%s\n", key, path, body),
	})
}
