package direct_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// fakeProber answers for endpoints by address.
type fakeProber struct {
	mu      sync.Mutex
	answers map[string]upstream.Report
	asked   map[string]int
}

var errSilent = errors.New("no answer")

func (p *fakeProber) Probe(_ context.Context, addr, _ string, _ time.Duration) (upstream.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked[addr]++
	answer, ok := p.answers[addr]
	if !ok {
		return upstream.Report{}, errSilent
	}
	return answer, nil
}

func (p *fakeProber) set(addr string, running int, pace float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers[addr] = upstream.Report{
		Instance: addr,
		Load:     placement.LoadReport{Known: true, InFlight: running, Slots: 3, Pace: pace, State: placement.Live},
	}
}

// total returns how many probes the endpoints at the addresses got.
func (p *fakeProber) total(addrs ...string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, addr := range addrs {
		n += p.asked[addr]
	}
	return n
}

// rig is a chooser over endpoints e0, e1, ..., whose addresses are their names;
// even ones are in the chooser's zone.
type rig struct {
	*direct.Chooser
	directory *directory.Directory
	prober    *fakeProber
}

func newRig(endpoints int, opts selection.Options) *rig {
	return newRigForgetting(endpoints, opts, 0)
}

// newRigForgetting looks for endpoints that are gone as often as told.
func newRigForgetting(endpoints int, opts selection.Options, forgetEvery time.Duration) *rig {
	return newRigWith(endpoints, opts, forgetEvery, nil)
}

// newRigWith is newRigForgetting with what holds endpoints to their limits.
func newRigWith(endpoints int, opts selection.Options, forgetEvery time.Duration, l direct.Limits) *rig {
	d := directory.New()
	var entries []directory.Entry
	prober := &fakeProber{answers: map[string]upstream.Report{}, asked: map[string]int{}}
	for i := range endpoints {
		id := fmt.Sprintf("e%d", i)
		zone := []string{"near", "far"}[i%2]
		entries = append(entries, directory.Entry{Endpoint: directory.Endpoint{
			Endpoint: placement.Endpoint{VM: id, Addr: id, Zone: zone, Slots: 3}, Service: "s",
		}, Revision: 1})
		prober.set(id, 0, 1)
	}
	routes := tenant.NewPrefixTable("t", []tenant.PrefixRoute{{
		Name: "r", Host: "a.example", Prefix: "/", Timeout: time.Second, Target: time.Second, MaxAttempts: 2,
		Split: []tenant.Share{{Service: "s", Weight: 1}},
	}})
	config := &directory.Config{Version: 5, Routes: routes, Services: map[string]tenant.Service{"s": {ProbePath: "/health"}}}
	d.Apply(directory.Changes{Config: config, Entries: entries}, time.Now())
	return &rig{directory: d, prober: prober, Chooser: direct.New(direct.Config{
		ID: "vm-1", Zone: "near", Regions: map[string]string{"near": "west", "far": "east"}, Directory: d, Client: prober, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Options: opts, ForgetEvery: forgetEvery, Limits: l,
	})}
}

// ask is a request with an hour to its target, so that nothing is refused for
// want of time.
func ask() placement.Request {
	now := time.Now()
	return placement.Request{ID: "id", Service: "t/s", Kind: "k", Accepted: now, Target: time.Hour, Deadline: now.Add(2 * time.Hour)}
}

// learn lets the chooser learn that the kind's work takes a millisecond.
func (r *rig) learn(t *testing.T) {
	t.Helper()
	g, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
}

// hurried is a request whose time to look has passed.
func hurried() placement.Request {
	a := ask()
	a.Target = time.Nanosecond
	return a
}

// TestSlowAndFullEndpointsAreNotChosen while another will do.
func TestSlowAndFullEndpointsAreNotChosen(t *testing.T) {
	for range 20 {
		r := newRig(4, selection.Options{})
		r.prober.set("e0", 0, 5)
		r.prober.set("e1", 3, 1)
		r.prober.set("e2", 0, 5)
		g, refused := r.Acquire(context.Background(), ask())
		assert.Assert(t, refused == nil)
		assert.Equal(t, g.Endpoint.VM, "e3")
		assert.Equal(t, g.Choice.Pace, 1.0)
		assert.Equal(t, g.Choice.Busy, 1)
	}
}

// TestOwnZoneIsAskedFirst, and others only where it will not do.
func TestOwnZoneIsAskedFirst(t *testing.T) {
	r := newRig(6, selection.Options{ProbeBurst: 1000})
	for range 20 {
		g, refused := r.Acquire(context.Background(), ask())
		assert.Assert(t, refused == nil)
		assert.Equal(t, g.Endpoint.Zone, "near")
		r.Complete(g, placement.Result{Outcome: placement.Completed, Took: 100 * time.Millisecond})
	}
	for _, far := range []string{"e1", "e3", "e5"} {
		assert.Equal(t, r.prober.asked[far], 0)
	}
}

// TestNobodyInTimeIsRefusedAtOnce, with what was known and when to come back.
func TestNobodyInTimeIsRefusedAtOnce(t *testing.T) {
	r := newRig(2, selection.Options{})
	r.prober.set("e0", 3, 1)
	r.prober.set("e1", 0, 5)
	_, refused := r.Acquire(context.Background(), hurried())
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Reason, reason.TooLate)
	assert.Equal(t, refused.Search.Known, 2)
	assert.Equal(t, refused.Search.Full, 1)
	assert.Equal(t, refused.Search.Probes, 2)
}

// TestWaitsForAPlace that becomes free.
func TestWaitsForAPlace(t *testing.T) {
	r := newRig(1, selection.Options{LookAgain: time.Millisecond, ProbeRate: 1e6})
	r.prober.set("e0", 3, 1)
	granted := make(chan placement.Grant)
	go func() {
		g, _ := r.Acquire(context.Background(), ask())
		granted <- g
	}()
	r.prober.set("e0", 1, 1)
	assert.Equal(t, (<-granted).Endpoint.VM, "e0")
}

// TestCompletionWakesWhoWaits, without a probe and long before it would look again.
func TestCompletionWakesWhoWaits(t *testing.T) {
	r := newRig(1, selection.Options{LookAgain: time.Hour, ProbeRate: 1e-9, ProbeBurst: 2})
	r.prober.set("e0", 2, 1)
	held, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	granted := make(chan placement.Grant)
	go func() {
		g, _ := r.Acquire(context.Background(), ask())
		granted <- g
	}()
	for r.Waiting("s") == 0 {
		time.Sleep(time.Millisecond)
	}
	r.Complete(held, placement.Result{
		Outcome: placement.Completed, Took: time.Millisecond,
		Load: placement.LoadReport{Known: true, InFlight: 0, Slots: 3, Pace: 1, State: placement.Live},
	})
	assert.Equal(t, (<-granted).Endpoint.VM, "e0")
	assert.Equal(t, r.Waiting("s"), 0)
}

// TestEndpointThatJoinedGetsRequests though all others are well and known. Time is
// virtual.
func TestEndpointThatJoinedGetsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(2, selection.Options{ProbeBurst: 1e6})
		use := func() string {
			time.Sleep(time.Second)
			g, refused := r.Acquire(context.Background(), ask())
			assert.Assert(t, refused == nil)
			r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
			return g.Endpoint.VM
		}
		assert.Equal(t, use(), "e0", "the one of the own zone")
		r.prober.set("new", 0, 1)
		r.directory.Apply(directory.Changes{At: 9, Entries: []directory.Entry{{
			Endpoint: directory.Endpoint{Endpoint: placement.Endpoint{VM: "new", Addr: "new", Zone: "near", Slots: 3}, Service: "s"}, Revision: 9,
		}}}, time.Now())
		assert.Equal(t, use(), "new")
	})
}

// TestUnknownKindIsTriedAfterAll: where the first guess of its work is too long for
// every endpoint, refusals make it shorter until one is sent.
func TestUnknownKindIsTriedAfterAll(t *testing.T) {
	r := newRig(1, selection.Options{RefuseShare: 1e-12, ProbeFresh: time.Nanosecond, ProbeBurst: 1000})
	r.prober.set("e0", 0, 5)
	_, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused != nil, "five times a third of the target is too long")
	_, refused = r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
}

// TestCallerThatLeavesIsNotServed.
func TestCallerThatLeavesIsNotServed(t *testing.T) {
	r := newRig(1, selection.Options{LookAgain: time.Millisecond, ProbeRate: 1e6})
	r.prober.set("e0", 3, 1)
	ctx, leave := context.WithCancel(context.Background())
	ended := make(chan *placement.Refusal)
	go func() {
		_, refused := r.Acquire(ctx, ask())
		ended <- refused
	}()
	leave()
	assert.Equal(t, (<-ended).Reason, reason.CallerLeft)
}

// TestTriedEndpointsAreAvoided, and none is left where all were tried.
func TestTriedEndpointsAreAvoided(t *testing.T) {
	r := newRig(2, selection.Options{})
	a := ask()
	a.Avoid = []string{"e0"}
	g, refused := r.Acquire(context.Background(), a)
	assert.Assert(t, refused == nil)
	assert.Equal(t, g.Endpoint.VM, "e1")
	a.Avoid = []string{"e0", "e1"}
	_, refused = r.Acquire(context.Background(), a)
	assert.Equal(t, refused.Reason, reason.NoEndpoint)
}

// TestAnotherInstanceAtTheAddress, told by a probe or by a request's answer,
// takes the endpoint out.
func TestAnotherInstanceAtTheAddress(t *testing.T) {
	r := newRig(3, selection.Options{})
	r.prober.mu.Lock()
	answer := r.prober.answers["e0"]
	answer.Instance = "stranger"
	r.prober.answers["e0"] = answer
	r.prober.mu.Unlock()
	for range 10 {
		g, refused := r.Acquire(context.Background(), ask())
		assert.Assert(t, refused == nil)
		assert.Assert(t, g.Endpoint.VM != "e0")
		r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	}
	g, _ := r.Acquire(context.Background(), ask())
	r.Complete(g, placement.Result{Outcome: placement.Unused, Replaced: true})
	for _, e := range r.directory.Snapshot().Endpoints["s"] {
		assert.Assert(t, e.VM != g.Endpoint.VM)
	}
}

// TestFailingEndpointIsEjected and comes back only where nobody else is left.
func TestFailingEndpointIsEjected(t *testing.T) {
	r := newRig(3, selection.Options{})
	failing := ask()
	failing.Avoid = []string{"e1", "e2"}
	for range 3 {
		g, refused := r.Acquire(context.Background(), failing)
		assert.Assert(t, refused == nil)
		r.Complete(g, placement.Result{Outcome: placement.Failed})
	}
	for range 10 {
		g, refused := r.Acquire(context.Background(), ask())
		assert.Assert(t, refused == nil)
		assert.Assert(t, g.Endpoint.VM != "e0")
		r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	}
	g, refused := r.Acquire(context.Background(), failing)
	assert.Assert(t, refused == nil)
	assert.Equal(t, g.Endpoint.VM, "e0", "the last one is used whatever it did")
}

// TestNobodyWaitsAtAnEndpoint: one whose slots are all taken gets nothing, even
// where it is thought to answer in time.
func TestNobodyWaitsAtAnEndpoint(t *testing.T) {
	r := newRig(1, selection.Options{RefuseShare: 1e-12, ProbeFresh: time.Nanosecond, ProbeBurst: 1000})
	r.learn(t)
	r.prober.set("e0", 3, 1)
	_, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Reason, reason.TooLate)
	r.prober.set("e0", 2, 5)
	g, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil, "its last slot is used, slow as it is")
	assert.Equal(t, g.Choice.Busy, 3)
}

// TestSilentEndpointIsPassedOver.
func TestSilentEndpointIsPassedOver(t *testing.T) {
	r := newRig(3, selection.Options{ProbeBurst: 1000})
	r.prober.mu.Lock()
	delete(r.prober.answers, "e0")
	r.prober.mu.Unlock()
	for range 10 {
		g, refused := r.Acquire(context.Background(), ask())
		assert.Assert(t, refused == nil)
		assert.Assert(t, g.Endpoint.VM != "e0")
		r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	}
}

// TestProbesKeepTheirRate for each endpoint.
func TestProbesKeepTheirRate(t *testing.T) {
	r := newRig(1, selection.Options{ProbeRate: 1e-9, ProbeBurst: 5, ProbeFresh: time.Nanosecond})
	for range 50 {
		g, _ := r.Acquire(context.Background(), ask())
		r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	}
	assert.Equal(t, r.prober.asked["e0"], 5)
}

// TestReadyNeedsConfigurationAndEndpoints.
func TestReadyNeedsConfigurationAndEndpoints(t *testing.T) {
	d := directory.New()
	f := direct.New(direct.Config{Directory: d, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
	ok, why := f.Ready()
	assert.Assert(t, !ok)
	assert.Equal(t, why, "no configuration")
	_, code := f.Route("a.example", "GET", "/")
	assert.Equal(t, code, reason.NotReady)
	r := newRig(1, selection.Options{})
	ok, _ = r.Ready()
	assert.Assert(t, ok)
	route, _ := r.Route("a.example", "GET", "/")
	assert.Equal(t, route.Version, uint64(5))
	assert.Equal(t, r.Status().Endpoints[0].ID, "e0")
}

// TestManyRequestsAtOnce share the endpoints' states; run with -race.
func TestManyRequestsAtOnce(t *testing.T) {
	r := newRig(3, selection.Options{ProbeBurst: 1e6, ProbeFresh: time.Nanosecond})
	var all sync.WaitGroup
	var granted atomic.Int64
	for range 16 {
		all.Go(func() {
			for range 40 {
				g, refused := r.Acquire(context.Background(), hurried())
				if refused == nil {
					granted.Add(1)
					r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
				}
			}
		})
	}
	all.Wait()
	assert.Assert(t, granted.Load() > 0)
}

// TestEndpointsMissingForLongAreGone: those that went together serve as a last
// resort for some seconds, and no longer.
func TestEndpointsMissingForLongAreGone(t *testing.T) {
	r := newRig(2, selection.Options{})
	r.directory.Apply(directory.Changes{Whole: true, At: 9}, time.Now())
	_, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	r = newRig(2, selection.Options{})
	r.directory.Apply(directory.Changes{Whole: true, At: 9}, time.Now().Add(-10*time.Second))
	_, refused = r.Acquire(context.Background(), ask())
	assert.Equal(t, refused.Reason, reason.NoEndpoint)
}

// BenchmarkAcquire is a choice among so many endpoints that are at their usual
// pace, probes included. Among 5,772 it took 2.4 ms and 387 KB while each choice looked at
// all of them, and takes as much as among 185 since it looks at a subset.
func BenchmarkAcquire(b *testing.B) {
	for _, endpoints := range []int{10, 40, 185, 5772} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			r := newRig(endpoints, selection.Options{})
			b.ReportAllocs()
			for b.Loop() {
				g, refused := r.Acquire(context.Background(), ask())
				if refused != nil {
					b.Fatal(refused.Reason)
				}
				r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
			}
		})
	}
}

// TestGoneEndpointsAreForgotten once they hold no request.
func TestGoneEndpointsAreForgotten(t *testing.T) {
	r := newRigForgetting(3, selection.Options{}, time.Nanosecond)
	held, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	other, refused := r.Acquire(context.Background(), placement.Request{ID: "b", Service: "t/s", Avoid: []string{held.Endpoint.VM}, Target: time.Hour, Deadline: time.Now().Add(time.Hour), Accepted: time.Now()})
	assert.Assert(t, refused == nil)
	r.directory.Apply(directory.Changes{At: 9, Entries: []directory.Entry{{
		Endpoint: directory.Endpoint{Endpoint: placement.Endpoint{VM: "new", Slots: 3}, Service: "s"}, Revision: 9,
	}}, Whole: true}, time.Now().Add(-time.Hour))
	r.directory.Apply(directory.Changes{At: 10}, time.Now())
	r.Complete(other, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	assert.Equal(t, r.Remembered(), 1, "the endpoint that still holds a request")
	r.Complete(held, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	assert.Equal(t, r.Remembered(), 0)
}

// TestLooksPastTheLastSlot: an endpoint with its last slot free is good, but is not
// taken while those probed lately were idle, and is when they are as busy.
func TestLooksPastTheLastSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(8, selection.Options{ProbeBurst: 1000})
		take := func() placement.Grant {
			time.Sleep(time.Second) // no report is fresh any more
			g, refused := r.Acquire(context.Background(), ask())
			assert.Assert(t, refused == nil)
			r.Complete(g, placement.Result{Outcome: placement.Completed, Took: 100 * time.Millisecond})
			return g
		}
		for range 20 {
			assert.Equal(t, take().Choice.Probes, 1)
		}
		for range 30 { // the one that was taken last is among the first to be probed
			last := take().Endpoint.VM
			r.prober.set(last, 2, 1)
			assert.Assert(t, take().Endpoint.VM != last)
			r.prober.set(last, 0, 1)
			for range 6 { // most of those seen lately are idle
				take()
			}
		}
		for i := range 8 {
			r.prober.set(fmt.Sprint("e", i), 2, 1)
		}
		for range 30 {
			take()
		}
		assert.Equal(t, take().Choice.Probes, 1, "no other one is expected to be better")
	})
}
