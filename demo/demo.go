// Package demo runs the whole product in one process: the store, the list of
// VMs, both tenants' endpoints at today's sizes, three balancers and callers,
// with an endpoint that drains, one that turns slow and a change of
// configuration while it runs. It checks every promise that it can see.
//
// # Usage
//
//	report, err := demo.Run(ctx, demo.Options{For: 10 * time.Second, Log: log})
//	fmt.Println(len(report.Violations))
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/audit"
	"github.com/lotuswing/lotuswing/coord/document"
	"github.com/lotuswing/lotuswing/examples"
	"github.com/lotuswing/lotuswing/load"
	"github.com/lotuswing/lotuswing/server"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/standin"
	"github.com/lotuswing/lotuswing/storeclient"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/vm"
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
}

// Row is a line of the report: one request kind of one tenant.
type Row struct {
	Tenant, Kind string
	Load         *load.Report
}

// Cost is what measuring cost a tenant.
type Cost struct {
	Tenant         string
	Spent, Allowed time.Duration
	Probes         int
}

// Report is what a run found.
type Report struct {
	Rows       []Row
	Costs      []Cost
	Violations []audit.Violation
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

// run is the state of one demo.
type run struct {
	opts      Options
	store     *standin.Store
	storeURL  string
	endpoints map[string]*standin.Endpoint // by VM
	balancers []*server.Server
	closers   []func()
	started   time.Time

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
	if opts.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, opts.For)
		defer cancel()
	}
	var background sync.WaitGroup
	background.Go(func() { r.sample(ctx) })
	background.Go(func() { r.disturb(ctx) })
	report := &Report{Rows: r.callers(ctx)}
	background.Wait()
	r.finish(report)
	return report, nil
}

func (r *run) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}

// serve serves a handler on a port of its own.
func (r *run) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readyWithin}
	go func() { _ = srv.Serve(l) }()
	r.closers = append(r.closers, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

func (r *run) start(ctx context.Context) error {
	r.store = standin.NewStore(standin.StoreOptions{})
	addr, err := r.serve(r.store)
	if err != nil {
		return err
	}
	r.storeURL = "http://" + addr
	for _, doc := range examples.Tenants {
		if err := r.apply(ctx, doc); err != nil {
			return err
		}
	}
	var vms []vm.VM
	for _, p := range pools {
		for i := range p.endpoints {
			e := standin.NewEndpoint(standin.EndpointOptions{ServiceTime: serviceTime, Spread: spread, ProbeTime: probeTime})
			addr, err := r.serve(e)
			if err != nil {
				return err
			}
			id := fmt.Sprintf("%s-%d", p.service, i)
			r.endpoints[id] = e
			vms = append(vms, vm.VM{
				ID: id, Role: vm.Endpoint, Tenant: p.tenant, Service: p.service,
				Addr: addr, Zone: p.zones[i%len(p.zones)], State: vm.Live,
			})
		}
	}
	for i, zone := range []string{"medina", "tribunal", "ktm-1"} {
		b, err := r.startBalancer(fmt.Sprintf("vm-%d", i+1), zone)
		if err != nil {
			return err
		}
		vms = append(vms, vm.VM{ID: fmt.Sprintf("vm-%d", i+1), Role: vm.Balancer, Addr: b, Zone: zone, State: vm.Live})
	}
	r.store.SetVMs(vms)
	return r.waitReady(ctx)
}

func (r *run) startBalancer(id, zone string) (link string, err error) {
	text := fmt.Sprintf(`{"id": %q, "zone": %q, "tenants": ["bennani", "himsagar"],
		"listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "link": "127.0.0.1:0",
		"store": {"url": %q, "vm_list_url": %q}, "link_tls": {"insecure": true}}`,
		id, zone, r.storeURL, r.storeURL+"/v1/vms")
	s, err := settings.Parse("demo "+id, []byte(text))
	if err != nil {
		return "", err
	}
	srv, err := server.Start(server.Config{Settings: s, Log: r.opts.Log.Named(id)})
	if err != nil {
		return "", err
	}
	r.balancers = append(r.balancers, srv)
	r.closers = append(r.closers, srv.Kill)
	return srv.LinkAddr(), nil
}

func (r *run) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for {
		ready := 0
		for _, b := range r.balancers {
			if ok, _ := b.Node().Ready(); ok && len(b.Node().Status().Members) == len(r.balancers) {
				ready++
			}
		}
		if ready == len(r.balancers) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("demo: the balancers did not become ready")
		case <-time.After(sampleEvery / 4):
		}
	}
}

// apply writes a tenant's document as an operator does.
func (r *run) apply(ctx context.Context, doc []byte) error {
	cfg, err := tenant.Parse("example", doc)
	if err != nil {
		return err
	}
	body, err := tenant.Standard(doc)
	if err != nil {
		return err
	}
	r.mu.Lock()
	base := r.applied[cfg.Tenant]
	r.mu.Unlock()
	p := document.Proposal{ID: fmt.Sprintf("demo-%d", base+1), Editor: "demo", Base: base, Body: json.RawMessage(body)}
	client := storeclient.New(r.storeURL, storeclient.Options{})
	out, err := document.Apply(ctx, client, "config/"+cfg.Tenant, p, document.ApplyOptions{})
	if out.Result != document.Won {
		return fmt.Errorf("demo: apply %s: %s: %w", cfg.Tenant, out.Result, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied[cfg.Tenant] = out.Version
	return nil
}

// callers make the traffic until ctx ends.
func (r *run) callers(ctx context.Context) []Row {
	rows := make([]Row, len(traffic))
	var targets []string
	for _, b := range r.balancers {
		targets = append(targets, "http://"+b.Addr())
	}
	span := r.opts.For
	if span == 0 {
		span = 365 * 24 * time.Hour
	}
	var wg sync.WaitGroup
	for i, t := range traffic {
		wg.Go(func() {
			body := ""
			if t.method == http.MethodPost {
				body = "stamped"
			}
			p := load.Plan{
				Targets: targets, Host: t.host, Method: t.method, Path: t.path, Body: body,
				Rate: t.rate, For: span, Name: t.kind,
				Check: func(key string, a load.Answer) { r.note(key, t.once, t.path, body, a) },
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

// sample notes which versions are in force.
func (r *run) sample(ctx context.Context) {
	for {
		r.sampleOnce()
		select {
		case <-ctx.Done():
			return
		case <-time.After(sampleEvery):
		}
	}
}

func (r *run) sampleOnce() {
	for _, b := range r.balancers {
		st := b.Node().Status()
		r.mu.Lock()
		for name, v := range st.Versions {
			if strings.HasPrefix(name, "config/") {
				key := st.ID + " " + name
				r.versions[key] = append(r.versions[key], v)
			}
		}
		r.mu.Unlock()
	}
}

// disturb drains an endpoint of each tenant, slows one down and changes the
// configuration.
func (r *run) disturb(ctx context.Context) {
	span := r.opts.For
	if span == 0 {
		span = time.Minute
	}
	if !wait(ctx, span/5) {
		return
	}
	r.endpoints["archives-3"].Set(standin.Behavior{Slowness: 10})
	for _, id := range []string{"petitions-1", "record-query-1"} {
		r.endpoints[id].Set(standin.Behavior{Draining: true})
		r.mu.Lock()
		r.leaving[id] = time.Now()
		r.mu.Unlock()
	}
	if !wait(ctx, span/5) {
		return
	}
	for _, doc := range examples.Tenants {
		if err := r.apply(ctx, doc); err != nil {
			r.opts.Log.Error("change not applied", "error", err)
		}
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// finish compares everything that was seen with the promises.
func (r *run) finish(report *Report) {
	r.sampleOnce()
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[string][]standin.Run{}
	for _, e := range r.endpoints {
		for _, one := range e.Runs() {
			runs[one.Key] = append(runs[one.Key], one)
		}
	}
	found := audit.Answers(r.told, runs)
	for id, since := range r.leaving {
		found = append(found, audit.Leaving(id, r.endpoints[id].Runs(), since.Add(leavingGrace))...)
	}
	for key, seen := range r.versions {
		name := key[strings.LastIndexByte(key, '/')+1:]
		found = append(found, audit.Versions(key, seen, r.applied[name])...)
	}
	for _, doc := range examples.Tenants {
		cost, violations := r.measuring(doc)
		report.Costs = append(report.Costs, cost)
		found = append(found, violations...)
	}
	report.Violations = found
}

// measuring counts the probes at the endpoints themselves.
func (r *run) measuring(doc []byte) (Cost, []audit.Violation) {
	cfg, err := tenant.Parse("example", doc)
	if err != nil {
		panic(fmt.Sprintf("demo: unreachable: %v", err))
	}
	cost := Cost{Tenant: cfg.Tenant}
	for _, p := range pools {
		for i := range p.endpoints {
			if p.tenant == cfg.Tenant {
				cost.Probes += r.endpoints[fmt.Sprintf("%s-%d", p.service, i)].Probes()
			}
		}
	}
	elapsed := time.Since(r.started)
	cost.Spent = time.Duration(cost.Probes) * cfg.Measuring.Cost()
	cost.Allowed = cfg.Measuring.Limit().Allowed(elapsed)
	return cost, audit.Measuring(cost.Spent, cfg.Measuring.Limit(), elapsed)
}
