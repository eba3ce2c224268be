package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/audit"
	"github.com/lotuswing/lotuswing/internal/partition"
	"github.com/lotuswing/lotuswing/load"
	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/relay"
	"github.com/lotuswing/lotuswing/server"
	"github.com/lotuswing/lotuswing/tenant"
)

// Beside the two tenants, three balancers follow the platform's store in front of eight
// endpoints that end under one request, which comes again and again, and start again under
// the identity that they had. Sound requests come to the same endpoints, and an entry of
// another writer stands among theirs.

const (
	crashTenant    = "platform"
	crashHost      = "fragile.example"
	crashPath      = "/fragile/crash"
	soundPath      = "/fragile/sound"
	crashKind      = "crashing"
	soundKind      = "sound"
	crashEndpoints = 8
	crashBalancers = 3
	crashRate      = 10 // requests a second
	soundRate      = 40
	crashRestart   = 500 * time.Millisecond
	// mostLate is how many endpoints may end under copies of the request that reach them once
	// the fleet must know that three have, and crashKnown how long after the third that is: the
	// time in which balancers are in touch again, and that of an attempt. Copies
	// that were under way then end theirs whatever anybody knows.
	mostLate   = 3
	crashKnown = 3500 * time.Millisecond
	// quarantined is the reason code of a request that is refused for the ends under it.
	quarantined = "LW2010"
	// unreached is the reason code of a request that is refused because no endpoint is reached.
	unreached = "LW2017"
)

// crashFleet is these balancers with their endpoints.
type crashFleet struct {
	store     *platformtest.Store
	targets   []string
	processes []*platformtest.Process
	admins    []string
	limited   *platformtest.Endpoint // names a limit
	spoken    []*platformtest.Endpoint
	pace      *pace
	networks  []*partition.Network // paths of each balancer to endpoints

	mu        sync.Mutex
	refused   int  // sound requests
	pathsLost bool // the last balancer has no paths
	unreached int  // requests that it refused then because no endpoint was reached
}

// startCrashFleet starts endpoints and balancers and waits until these are ready.
func (r *run) startCrashFleet(ctx context.Context) (*crashFleet, error) {
	f := &crashFleet{store: platformtest.NewStore(), pace: &r.pace}
	addr, err := r.serve(f.store)
	if err != nil {
		return nil, err
	}
	f.store.Publish(1, []tenant.PrefixRoute{
		platformRoute("fragile", "/fragile/"), platformRoute(limitedKind, limitedPath), platformRoute(spokenKind, spokenPath),
	}, map[string]tenant.Service{"fragile": platformService, limitedService: platformService, spokenService: platformService})
	f.store.PutRaw("foreign", []byte(`{"address":17}`))
	for i := range crashEndpoints {
		p, err := platformtest.StartProcess(f.store, platformtest.ProcessConfig{
			ID: fmt.Sprintf("fragile-%d", i), Service: "fragile", Zone: "medina", RestartAfter: crashRestart,
			Behavior: platformtest.Behavior{ServiceTime: serviceTime, CrashOn: crashPath},
		})
		if err != nil {
			return nil, err
		}
		r.closers = append(r.closers, p.Stop)
		f.processes = append(f.processes, p)
	}
	if err := errors.Join(r.startLimited(f), r.startSpoken(f)); err != nil {
		return nil, err
	}
	var links []string
	for i := range crashBalancers {
		link, err := r.startPlatformBalancer(f, fmt.Sprintf("vm-p%d", i+1), "http://"+addr, links)
		if err != nil {
			return nil, err
		}
		links = append(links, link)
	}
	return f, f.waitReady(ctx)
}

// waitReady waits until all balancers of the fleet are ready, and one of them follows the
// store for the others: until then, a second after a fleet's start, they tell each other
// nothing.
func (f *crashFleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for !f.isReady() {
		if !wait(ctx, sampleEvery/4) {
			return errors.New("demo: the balancers on the platform did not become ready")
		}
	}
	return nil
}

// isReady asks the balancers whether they are ready, and whom they follow.
func (f *crashFleet) isReady() bool {
	store, others := 0, 0
	for _, admin := range f.admins {
		resp, err := http.Get("http://" + admin + "/status")
		if err != nil {
			return false
		}
		var st server.DirectStatus
		err = json.NewDecoder(resp.Body).Decode(&st)
		_ = resp.Body.Close() // it was read to its end
		switch {
		case err != nil || !st.Ready || st.Copy.Following == "":
			return false
		case st.Copy.Following == relay.WatchesStore:
			store++
		default:
			others++
		}
	}
	return store == 1 && others == len(f.admins)-1
}

// callers send the crashing request and sound ones for a while.
func (f *crashFleet) callers(ctx context.Context, span time.Duration, shown *progress) []Row {
	check := func(kind string) func(string, load.Answer) {
		return func(key string, a load.Answer) {
			shown.answered(crashTenant, kind, a)
			if kind == soundKind {
				f.noteSound(key, a)
			}
		}
	}
	plans := []load.Plan{
		{Name: soundKind, Path: soundPath, Rate: soundRate, Check: check(soundKind)},
		{Name: crashKind, Path: crashPath, Rate: crashRate, Check: check(crashKind)},
		limitedPlan(check(limitedKind)), spokenPlan(check(spokenKind)),
	}
	go f.speak(ctx)
	go f.losePaths(ctx, span)
	rows := make([]Row, len(plans))
	var all sync.WaitGroup
	for i, p := range plans {
		p.Targets, p.Host, p.Method, p.For = f.targets, crashHost, http.MethodGet, span
		all.Go(func() {
			report, err := load.Run(ctx, p)
			if err != nil {
				panic(fmt.Sprintf("demo: unreachable: %v", err))
			}
			rows[i] = Row{Tenant: crashTenant, Kind: p.Name, Load: report}
		})
	}
	all.Wait()
	return rows
}

// noteSound counts sound requests that were refused for what others did, or for lost paths.
func (f *crashFleet) noteSound(_ string, a load.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch a.Reason {
	case quarantined:
		f.refused++
	case unreached:
		if f.pathsLost && a.Target == f.targets[len(f.targets)-1] {
			f.unreached++
		}
	}
}

// lateEnds returns how many endpoints ended under copies of a request that reached them once the
// fleet knew of three ends.
func lateEnds(ends []platformtest.End, elapsed func(from, to time.Time) time.Duration) int {
	if len(ends) < 3 {
		return 0
	}
	slices.SortFunc(ends, func(a, b platformtest.End) int { return a.At.Compare(b.At) })
	known := ends[2].At
	late := slices.DeleteFunc(ends[3:], func(end platformtest.End) bool { return elapsed(known, end.Began) <= crashKnown })
	return len(late)
}

// violations compares what was seen with the promises.
func (f *crashFleet) violations() (found []audit.Violation) {
	var ended []platformtest.End
	for _, p := range f.processes {
		for _, end := range p.Ends() {
			if strings.Contains(end.Path, crashPath) {
				ended = append(ended, end)
			}
		}
	}
	if late := lateEnds(ended, f.pace.used); late > mostLate {
		found = append(found, audit.Violation{Rule: audit.CrashesEnd, What: fmt.Sprintf("%d endpoints ended under one request, %d of them late", len(ended), late)})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refused > 0 {
		found = append(found, audit.Violation{Rule: audit.CrashesEnd, What: fmt.Sprintf("%d sound requests were refused for it", f.refused)})
	}
	if f.unreached > 0 {
		found = append(found, audit.Violation{Rule: audit.PathsLost, What: fmt.Sprintf("%d requests were refused by a balancer without paths while others had theirs", f.unreached)})
	}
	return slices.Concat(found, f.limitViolations(), f.spokenViolations())
}
