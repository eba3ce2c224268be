// Package soak runs balancers as separate processes against stand-ins of the
// platform and lets faults strike them from outside: signals, links that are
// delayed, reset, cut one way or silenced, a store that misbehaves, endpoints
// that lie, leave and come, requests that crash them, entries of other writers. Callers and endpoints note what they see, and at the
// end the promises of the product are compared with it.
//
// Clocks are not disturbed: no decision of the product depends on the time of
// day, and the steady clock of a process cannot be moved from outside. That a VM was
// suspended is told to its process in a file.
//
// It owns the processes that it starts, and ends only these. The faults are in
// faults.go, zones that are emptied in zones.go, endpoints that turn cold in cold.go, endpoints that name limits in limits.go, planned stops in series.go, their promises in stops.go, callers that keep connections in keepers.go, those that leave or want no requests by their answers in words.go, teams with keys and quotas in teams.go, a store that comes back from a copy in restores.go, lost paths to endpoints in partitions.go, requests that crash endpoints in crashes.go, the links in proxy.go, the processes in process.go, what callers and
// endpoints saw in ledger.go, promises with a time limit in timed.go. It relies on
// package platformtest for the platform.
//
// # Usage
//
//	result, err := soak.Run(ctx, soak.Config{Seed: 7, For: time.Minute, Balancers: 4, Command: command, Log: log})
package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// Config of a soak.
type Config struct {
	Seed      uint64
	For       time.Duration
	Balancers int           // processes; default 4
	Endpoints int           // of each service; default 4
	Callers   int           // default 8
	Gap       time.Duration // mean pause between two faults; default 300 ms
	// Together is the mean time between two losses of all balancers at once; 0 for none.
	Together time.Duration
	// Half is the mean time between two losses of half of the balancers at once; 0 for none.
	Half time.Duration
	// Empty is the mean time between two emptyings of an availability zone; 0 for none.
	Empty time.Duration
	// Cold is the mean time between two turns of endpoints that become cold at any moment; 0 for none.
	Cold time.Duration
	// Crash is the mean time between two faults about requests that crash endpoints, damaged
	// entries and suspended VMs; 0 for none.
	Crash time.Duration
	// Limit is the mean time between two endpoints that begin to name limits; 0 for none.
	Limit time.Duration
	// Words is the mean time between two endpoints that say in their answers that they leave, or that
	// they want no requests for a while; 0 for none.
	Words time.Duration
	// Teams is the mean time between two teams that send many times their quotas, or lose a key; 0 for
	// callers without keys.
	Teams time.Duration
	// Partition is the mean time between two losses of the paths of some balancers to all endpoints; 0
	// for none.
	Partition time.Duration
	// Restore is the mean time between two restores of the store from a copy; 0 for none.
	Restore time.Duration
	// Stops is the mean time between two series of planned stops of most balancers; 0 for none, and for
	// no callers that keep connections in use through a stop.
	Stops time.Duration
	// Odd is the mean time between two odd answers or load reports of endpoints, or odd parts of the
	// configuration; 0 for none.
	Odd time.Duration
	// Timed checks the promises that have a time limit, too. They depend on a
	// machine that gives every process its turn.
	Timed bool
	// Command returns the command that runs a balancer with a settings file and
	// writes its log to a file.
	Command func(settings, log string) *exec.Cmd
	// Keep is a folder for settings and logs; empty for one that is removed.
	Keep string
	Log  hclog.Logger
}

func (c Config) withDefaults() Config {
	c.Balancers = cmp.Or(c.Balancers, 4)
	c.Endpoints = cmp.Or(c.Endpoints, 4)
	c.Callers = cmp.Or(c.Callers, 8)
	c.Gap = cmp.Or(c.Gap, 300*time.Millisecond)
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	return c
}

// Result of a soak.
type Result struct {
	Seed       uint64
	Requests   int
	Statuses   map[int]int    // of whole answers; 0 for none
	Faults     map[string]int // begun
	Violations []Violation
}

// peersGiven is of how many others the settings of each balancer tell.
const peersGiven = 3

// zones is how many zones the balancers are divided among; in each of them one
// follows the store for the others.
const zones = 2

// world is all that a soak runs.
type world struct {
	ctx       context.Context
	log       hclog.Logger
	store     *platformtest.Store
	balancers []*balancer
	calendar  *calendar
	gap       time.Duration
	ends      sync.WaitGroup // of faults

	mu        sync.Mutex
	rng       *rand.Rand // of the faults; used by one goroutine
	current   []*endpoint
	all       []*endpoint
	started   int
	version   uint64
	moveTo    string
	everyZone bool // endpoints stand in all zones
	colds     bool // endpoints turn cold at any moment
	bursts    int  // callers of bursts, so far
	slow      bool // there is a service whose endpoints take long
	crashes   *crashes
	teams     *teams // nil where callers have no keys
	sent      *ledger
	failure   error // the soak itself went wrong
}

// fail notes that the soak itself went wrong.
func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failure = errors.Join(w.failure, err)
}

// Run runs a soak until its time has passed or ctx ends.
func Run(ctx context.Context, cfg Config) (result Result, err error) {
	cfg = cfg.withDefaults()
	dir := cfg.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "lotuswing-soak"); err != nil {
			return Result{}, fmt.Errorf("soak: %w", err)
		}
		defer removeAll(dir)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return Result{}, fmt.Errorf("soak: %w", err)
	}
	w := newWorld(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Result{}, fmt.Errorf("soak: store: %w", err)
	}
	storeServer := &http.Server{Handler: w.store}
	go func() { _ = storeServer.Serve(l) }()
	defer func() { err = errors.Join(err, storeServer.Close()) }()
	if err := w.begin(ctx, cfg, dir, l.Addr().String()); err != nil {
		return Result{}, errors.Join(err, w.end())
	}
	sent := w.sent
	result = w.play(ctx, cfg, sent)
	if err := errors.Join(w.failure, w.end()); err != nil {
		return Result{}, err
	}
	sent.checkRuns(w.all)
	sent.checkCold(w.calendar)
	if w.crashes != nil {
		w.crashes.checkCrashes(sent, w.calendar)
	}
	sent.checkLimits(w.calendar)
	sent.checkWords(w.calendar, w.all)
	if w.teams != nil {
		sent.checkTeams(w.teams, w.calendar, w.all)
	}
	result.Faults["killed at its grace"] = sent.checkStops(w.calendar, w.all, cfg.Timed)
	if cfg.Timed {
		sent.checkTimed(w.calendar, w.all)
		sent.checkPartitions(w.calendar)
	}
	result.Requests, result.Statuses, result.Violations = len(sent.sent), sent.statuses, sent.violations
	slices.SortFunc(result.Violations, func(a, b Violation) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return result, nil
}

// newWorld returns the world of a soak, in which nothing runs yet.
func newWorld(cfg Config) *world {
	w := &world{
		log: cfg.Log, store: platformtest.NewStore(), calendar: &calendar{}, gap: cfg.Gap,
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), moveTo: serviceAlpha,
		everyZone: cfg.Empty > 0 || cfg.Cold > 0, colds: cfg.Cold > 0, slow: cfg.Stops > 0, sent: newLedger(),
	}
	if cfg.Teams > 0 {
		w.teams = newTeams()
	}
	return w
}

// services returns those that endpoints of their own stand for.
func (w *world) services() []string {
	if w.slow {
		return []string{serviceAlpha, serviceBeta, serviceSlow}
	}
	return []string{serviceAlpha, serviceBeta}
}

// begin starts endpoints and balancers and waits until all are ready.
func (w *world) begin(ctx context.Context, cfg Config, dir, storeAddr string) error {
	w.ctx = ctx
	w.mu.Lock()
	for range cfg.Endpoints {
		for _, service := range w.services() {
			if _, err := w.addEndpoint(service); err != nil {
				w.mu.Unlock()
				return err
			}
		}
	}
	w.mu.Unlock()
	if cfg.Crash > 0 {
		var err error
		if w.crashes, err = w.startFragile(); err != nil {
			return err
		}
	}
	w.publish(w.rng)
	free := &addresses{given: map[int]bool{}}
	for i := range cfg.Balancers {
		b, err := newBalancer(dir, fmt.Sprintf("vm-%d", i), zoneName(i%zones), storeAddr, free, cfg.Command)
		if err != nil {
			return err
		}
		if cfg.Crash > 0 {
			b.clock = filepath.Join(dir, b.id+".suspended")
		}
		if cfg.Cold > 0 {
			b.lines = allLines
		}
		if cfg.Partition > 0 {
			b.paths = filepath.Join(dir, b.id+".paths")
		}
		w.balancers = append(w.balancers, b)
	}
	for _, b := range w.balancers {
		for _, peer := range w.balancers[:min(peersGiven, len(w.balancers))] {
			b.peers = append(b.peers, peer.link)
		}
		if err := errors.Join(b.writeSettings(), b.run()); err != nil {
			return err
		}
	}
	for _, b := range w.balancers {
		if err := b.waitReady(ctx); err != nil {
			return err
		}
		w.calendar.disturb(b.id, time.Now().Add(-touchTime), time.Now())
	}
	return nil
}

// play lets callers and faults go on for the soak's time.
func (w *world) play(ctx context.Context, cfg Config, sent *ledger) Result {
	result := Result{Seed: cfg.Seed, Faults: map[string]int{}}
	calling, stopCalls := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range cfg.Callers {
		c := w.newCaller(i, rand.New(rand.NewPCG(cfg.Seed, uint64(i)+2)))
		callers.Go(func() { c.run(calling) })
	}
	if w.slow {
		for _, k := range w.keepers(cfg.Seed) {
			callers.Go(func() { k.run(calling) })
		}
	}
	if w.crashes != nil {
		for i := range soundCallers {
			rng := rand.New(rand.NewPCG(cfg.Seed, math.MaxUint64-2-uint64(i)))
			callers.Go(func() { w.crashes.sound(calling, i, rng, sent) })
		}
	}
	disturbing, stopFaults := context.WithTimeout(ctx, cfg.For)
	beside := w.strikeBeside(disturbing, cfg)
	w.disturbUntil(disturbing, w.rng, func(kind string) { result.Faults[kind]++ })
	maps.Copy(result.Faults, beside())
	stopFaults()
	stopCalls()
	callers.Wait()
	if cfg.Restore > 0 {
		w.checkRestore(ctx, sent)
	}
	return result
}

// end ends all that the soak started.
func (w *world) end() error {
	var errs []error
	for _, b := range w.balancers {
		b.end()
	}
	if w.crashes != nil {
		w.crashes.stop()
	}
	for _, e := range w.all {
		e.proxy.Close()
		errs = append(errs, e.http.Close())
	}
	return errors.Join(errs...)
}
