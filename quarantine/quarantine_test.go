package quarantine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/position"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/quarantine"
	"github.com/lotuswing/lotuswing/relay"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// harness is a fleet of Trackers with simulated endpoints, store and notes, in virtual time.
type harness struct {
	ctx       context.Context
	directory *directory.Directory
	lookEvery time.Duration // Options.LookEvery of the Trackers; 0 for the default

	mu         sync.Mutex
	trackers   []*quarantine.Tracker
	down       map[string]bool   // addresses that refuse connections
	instances  map[string]string // ID of the instance that answers, by address
	records    map[string]storedValue
	revision   uint64
	storeDown  bool
	isolated   map[int]bool // indexes of Trackers that neither send nor receive notes
	storeCalls int
	backingOff string // ID of an endpoint that has asked for no requests
	probes     int
}

// storedValue is the value of one key in the simulated store.
type storedValue struct {
	value    []byte
	revision uint64
	lease    uint64
	expires  time.Time // zero for never
}

var errStoreDown = errors.New("store is down")

// newHarness starts n Trackers, which run until the test ends.
func newHarness(t *testing.T, n int) *harness {
	t.Helper()
	return newHarnessWithInterval(t, n, 0)
}

// newHarnessWithInterval is newHarness with a value for Options.LookEvery.
func newHarnessWithInterval(t *testing.T, n int, lookEvery time.Duration) *harness {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	h := &harness{ctx: ctx, lookEvery: lookEvery, directory: directory.New(), down: map[string]bool{}, instances: map[string]string{}, records: map[string]storedValue{}, isolated: map[int]bool{}}
	h.directory.Apply(directory.Changes{
		Config: &directory.Config{Version: 1, Services: map[string]tenant.Service{"s": {ProbePath: "/health"}}},
	}, time.Now())
	for range n {
		h.startTracker()
	}
	t.Cleanup(func() {
		stop()
		synctest.Wait()
	})
	return h
}

// startTracker starts another Tracker, which first reads the store's records.
func (h *harness) startTracker() *quarantine.Tracker {
	h.mu.Lock()
	defer h.mu.Unlock()
	number := len(h.trackers)
	k := quarantine.New(quarantine.Config{
		ID: fmt.Sprintf("vm-%d", number), Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Endpoints: h.directory, Prober: h, Registry: h,
		Publish:  func(topic string, data []byte) error { return h.deliverNote(number, topic, data) },
		Serving:  func() bool { return number == 0 },
		MayProbe: func(endpoint string) bool { return endpoint != h.backingOff },
		Options:  quarantine.Options{Now: time.Now, LookEvery: h.lookEvery},
	})
	h.trackers = append(h.trackers, k)
	go k.Run(h.ctx)
	for name, stored := range h.records {
		k.ApplyChanges(directory.Changes{Registrations: []directory.Record{{Key: name, Value: stored.value, Revision: stored.revision}}})
	}
	return k
}

// The first Trackers receive a note after minNoteDelay milliseconds. The others follow in
// noteDelaySteps steps of one millisecond.
const (
	minNoteDelay   = 5
	noteDelaySteps = 25
)

// deliverNote delivers a note to all other Trackers, one after the other. A single goroutine does
// this: with one for each Tracker, 7,257 Trackers took 16 GB of memory under the race detector.
func (h *harness) deliverNote(from int, topic string, data []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isolated[from] {
		return nil
	}
	var receivers [noteDelaySteps][]*quarantine.Tracker
	for to, k := range h.trackers {
		if to != from && !h.isolated[to] {
			step := (to * 7) % noteDelaySteps
			receivers[step] = append(receivers[step], k)
		}
	}
	go func() {
		pause.For(h.ctx, minNoteDelay*time.Millisecond)
		for step, trackers := range receivers {
			for _, k := range trackers {
				if h.ctx.Err() != nil {
					return
				}
				k.HandleNote(relay.Note{Origin: "vm", Topic: topic, Data: data, Age: time.Duration(minNoteDelay+step) * time.Millisecond})
			}
			pause.For(h.ctx, time.Millisecond)
		}
	}()
	return nil
}

// Replace implements the compare-and-swap of the store.
func (h *harness) Replace(ctx context.Context, name string, value []byte, revision uint64, ttl time.Duration) (uint64, error) {
	pause.For(ctx, 10*time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeCalls++
	if h.storeDown {
		return 0, errStoreDown
	}
	stored := h.records[name]
	if !stored.expires.IsZero() && !time.Now().Before(stored.expires) {
		stored = storedValue{}
	}
	if stored.revision != revision {
		return 0, relay.ErrAlreadyRegistered
	}
	h.revision++
	next := storedValue{value: value, revision: h.revision, lease: h.revision}
	if ttl > 0 {
		next.expires = time.Now().Add(ttl)
	}
	h.records[name] = next
	trackers := slices.Clone(h.trackers)
	go func() {
		pause.For(h.ctx, time.Second)
		for _, k := range trackers {
			if h.ctx.Err() != nil {
				return
			}
			k.ApplyChanges(directory.Changes{Registrations: []directory.Record{{Key: name, Value: value, Revision: next.revision}}})
		}
	}()
	return next.lease, nil
}

// Release deletes the record of a lease.
func (h *harness) Release(ctx context.Context, lease uint64) error {
	pause.For(ctx, 10*time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeCalls++
	if h.storeDown {
		return errStoreDown
	}
	maps.DeleteFunc(h.records, func(_ string, stored storedValue) bool { return stored.lease == lease })
	return nil
}

// Probe answers in place of an endpoint.
func (h *harness) Probe(ctx context.Context, addr, _ string, _ time.Duration) (upstream.Report, error) {
	pause.For(ctx, time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probes++
	if h.down[addr] {
		return upstream.Report{}, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	}
	return upstream.Report{Instance: h.instances[addr]}, nil
}

// listEndpoint adds an endpoint to the directory, or replaces its entry.
func (h *harness) listEndpoint(id string, start int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision++
	h.directory.Apply(directory.Changes{Entries: []directory.Entry{{
		Endpoint: directory.Endpoint{Endpoint: placement.Endpoint{VM: id, Addr: id, Zone: "z", Slots: 3}, Service: "s", Start: start}, Revision: h.revision,
	}}}, time.Now())
}

// request returns a request with a fingerprint that depends on name.
func request(name string) quarantine.Request {
	return quarantine.Request{
		ID: "r-" + name, Fingerprints: crash.Request{Path: name}.Fingerprints(), Service: "s", Kind: "k", Patience: 100 * time.Millisecond,
	}
}

// stopEndpoint makes an endpoint's address refuse connections.
func (h *harness) stopEndpoint(endpoint string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down[endpoint] = true
}

// setStoreDown makes the store refuse all calls, or answer them again.
func (h *harness) setStoreDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeDown = down
}

// countStoreCalls returns the number of calls of the store so far.
func (h *harness) countStoreCalls() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.storeCalls
}

// crashEndpoint stops an endpoint, reports the broken attempt of the request to a Tracker, and waits
// until all Trackers know.
func (h *harness) crashEndpoint(k *quarantine.Tracker, q quarantine.Request, endpoint string, admission quarantine.Admission) {
	h.stopEndpoint(endpoint)
	<-k.CheckEndpoint(quarantine.Attempt{Request: q, Endpoint: endpoint, Start: 1, Addr: endpoint, Trial: admission.Trial, Alone: true})
	time.Sleep(50 * time.Millisecond)
}

// crashUntilRefused reports crashes during a request to a Tracker, the last two on trial, after
// which the request is refused.
func (h *harness) crashUntilRefused(t *testing.T, k *quarantine.Tracker, q quarantine.Request) {
	t.Helper()
	for range 2 {
		h.crashEndpoint(k, q, h.newEndpointID(), quarantine.Admission{})
	}
	for range 2 {
		h.crashOnTrial(t, k, q)
	}
}

// crashOnTrial admits a request on trial at a Tracker and has it crash an endpoint.
func (h *harness) crashOnTrial(t *testing.T, k *quarantine.Tracker, q quarantine.Request) {
	t.Helper()
	admission, refused := k.Admit(h.ctx, q)
	assert.Assert(t, refused == nil && admission.Trial)
	h.crashEndpoint(k, q, h.newEndpointID(), admission)
}

// newEndpointID returns the ID of an endpoint that was not used before.
func (h *harness) newEndpointID() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("another-%d", len(h.down))
}

// actions returns the action of each Tracker for a request.
func (h *harness) actions(q quarantine.Request) (all []string) {
	for _, k := range h.trackers {
		action := "send"
		for _, st := range k.List() {
			if st.Fingerprint == q.Fingerprints.Exact {
				action = st.Step
			}
		}
		all = append(all, action)
	}
	return all
}

// TestRequestCrashingOnTrialIsRefused: after two crashes a request is on trial at all Trackers.
// After two more on trial it is refused by all of them, and by one that starts later.
func TestRequestCrashingOnTrialIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3)
		q := request("a")
		h.crashEndpoint(h.trackers[0], q, "e0", quarantine.Admission{})
		assert.DeepEqual(t, h.actions(q), []string{"send", "send", "send"})
		h.crashEndpoint(h.trackers[1], q, "e1", quarantine.Admission{})
		assert.DeepEqual(t, h.actions(q), []string{"try", "try", "try"})
		h.crashOnTrial(t, h.trackers[2], q)
		assert.DeepEqual(t, h.actions(q), []string{"try", "try", "try"})
		h.crashOnTrial(t, h.trackers[1], q)
		assert.DeepEqual(t, h.actions(q), []string{"refuse", "refuse", "refuse"})
		_, refused := h.trackers[0].Admit(h.ctx, q)
		assert.Assert(t, refused != nil)
		assert.Assert(t, refused.RetryAfter > 9*time.Minute, "RetryAfter is shorter than the refusal")
		assert.Assert(t, len(refused.Evidence) > 0)
		time.Sleep(time.Second)
		late := h.startTracker()
		_, refused = late.Admit(h.ctx, q)
		assert.Assert(t, refused != nil, "the record in the store was not read")
		other := request("b")
		admission, refused := late.Admit(h.ctx, other)
		assert.Assert(t, refused == nil)
		assert.DeepEqual(t, admission, quarantine.Admission{}) // another request is not affected
	})
}

// TestOneTrialAtATime: while one Tracker has a request on trial, the others wait, and send it once
// it has completed.
func TestOneTrialAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 30)
		q := request("a")
		h.crashEndpoint(h.trackers[0], q, "e0", quarantine.Admission{})
		h.crashEndpoint(h.trackers[0], q, "e1", quarantine.Admission{})
		var trials, refusals, served atomic.Int64
		for _, k := range h.trackers {
			go func() {
				admission, refused := k.Admit(h.ctx, q)
				switch {
				case refused != nil:
					refusals.Add(1)
				case admission.Trial:
					trials.Add(1)
					time.Sleep(40 * time.Millisecond) // an endpoint processes it
					k.Completed(q)
				default:
					served.Add(1)
				}
			}()
		}
		time.Sleep(time.Second)
		assert.Equal(t, trials.Load(), int64(1))
		assert.Equal(t, served.Load(), int64(29))
		assert.Equal(t, refusals.Load(), int64(0))
		assert.DeepEqual(t, h.trackers[7].List(), []quarantine.Status{})
	})
}

// TestEndpointInBackoffIsNotProbed: an endpoint that has asked for no requests is not probed. Its
// directory entry shows whether it crashed.
func TestEndpointInBackoffIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.backingOff = "e0"
		h.crashEndpoint(h.trackers[0], request("a"), "e0", quarantine.Admission{})
		assert.Equal(t, h.probes, 0)
		h.crashEndpoint(h.trackers[0], request("a"), "e1", quarantine.Admission{})
		assert.Assert(t, h.probes > 0)
		time.Sleep(10 * time.Second) // until the watch of e0 ends
	})
}

// TestTrialListsCrashedIncarnations: an admission to a trial names the crashed incarnations, so that the
// request is not sent to one that the store still lists.
func TestTrialListsCrashedIncarnations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		q := request("a")
		h.crashEndpoint(h.trackers[0], q, "e0", quarantine.Admission{})
		h.crashEndpoint(h.trackers[0], q, "e1", quarantine.Admission{})
		admission, refused := h.trackers[1].Admit(h.ctx, q)
		assert.Assert(t, refused == nil && admission.Trial)
		assert.DeepEqual(t, admission.Crashed, []placement.Incarnation{{VM: "e0", Start: 1}, {VM: "e1", Start: 1}})
	})
}

// TestTrialWithoutResultExpires: during a trial whose end nobody reports, requests at other Trackers
// are refused when their patience ends. Another trial is possible after a while.
func TestTrialWithoutResultExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		q := request("a")
		h.crashEndpoint(h.trackers[0], q, "e0", quarantine.Admission{})
		h.crashEndpoint(h.trackers[0], q, "e1", quarantine.Admission{})
		admission, _ := h.trackers[0].Admit(h.ctx, q)
		assert.Assert(t, admission.Trial)
		began := time.Now()
		_, refused := h.trackers[1].Admit(h.ctx, q)
		assert.Assert(t, refused != nil)
		assert.Assert(t, time.Since(began) <= q.Patience+250*time.Millisecond)
		assert.Assert(t, refused.RetryAfter <= time.Second)
		time.Sleep(4 * time.Second)
		admission, _ = h.trackers[1].Admit(h.ctx, q)
		assert.Assert(t, admission.Trial)
	})
}

// TestStoreUnavailable: while the store is down, notes alone reach all Trackers, and each of them
// has one trial at a time of its own. No request is refused because the store is down, and one that
// crashes endpoints is refused.
func TestStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3)
		h.setStoreDown(true)
		q := request("a")
		h.crashEndpoint(h.trackers[0], q, "e0", quarantine.Admission{})
		h.crashEndpoint(h.trackers[1], q, "e1", quarantine.Admission{})
		admission, refused := h.trackers[2].Admit(h.ctx, q)
		assert.Assert(t, refused == nil && admission.Trial)
		_, refused = h.trackers[2].Admit(h.ctx, q)
		assert.Assert(t, refused != nil, "one balancer has two trials at a time")
		h.crashEndpoint(h.trackers[2], q, "e2", admission)
		h.crashOnTrial(t, h.trackers[1], q)
		for _, k := range h.trackers {
			_, refused = k.Admit(h.ctx, q)
			assert.Assert(t, refused != nil)
		}
	})
}

// TestTrialAfterTrialWithoutResult: when a trial ends without a result, another one begins at once.
func TestTrialAfterTrialWithoutResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		q := request("a")
		h.crashEndpoint(h.trackers[0], q, "e0", quarantine.Admission{})
		h.crashEndpoint(h.trackers[0], q, "e1", quarantine.Admission{})
		admission, _ := h.trackers[0].Admit(h.ctx, q)
		assert.Assert(t, admission.Trial)
		go func() {
			time.Sleep(40 * time.Millisecond) // no endpoint was available
			h.trackers[0].EndTrial(q)
		}()
		admission, refused := h.trackers[1].Admit(h.ctx, q)
		assert.Assert(t, refused == nil && admission.Trial)
		h.trackers[0].EndTrial(q) // a trial that has already ended
		_, refused = h.trackers[0].Admit(h.ctx, q)
		assert.Assert(t, refused != nil, "the trial of the other Tracker has ended")
	})
}

// TestRefusalIsRecordedWhenTheStoreReturns: a refusal is recorded once the store is available
// again, whether or not the Tracker that observed the crashes does the shared work of its zone.
func TestRefusalIsRecordedWhenTheStoreReturns(t *testing.T) {
	for _, observer := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, 2)
			q := request("a")
			h.crashEndpoint(h.trackers[0], q, "e0", quarantine.Admission{})
			h.crashEndpoint(h.trackers[0], q, "e1", quarantine.Admission{})
			h.crashOnTrial(t, h.trackers[observer], q)
			admission, _ := h.trackers[observer].Admit(h.ctx, q)
			h.setStoreDown(true)
			h.crashEndpoint(h.trackers[observer], q, "e2", admission)
			time.Sleep(20 * time.Second)
			h.setStoreDown(false)
			time.Sleep(20 * time.Second)
			calls := h.countStoreCalls()
			assert.DeepEqual(t, storedRecord(h, q).State, "refused")
			assert.Equal(t, len(storedRecord(h, q).Crashes), 4)
			time.Sleep(time.Minute)
			assert.Equal(t, h.countStoreCalls(), calls, "the record was written again")
		})
	}
}

// storedRecord returns the store's record of a request.
func storedRecord(h *harness, q quarantine.Request) (rec quarantine.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if stored, ok := h.records["quarantine/"+string(q.Fingerprints.Exact)]; ok {
		if err := json.Unmarshal(stored.value, &rec); err != nil {
			panic(err)
		}
	}
	return rec
}

// TestOnlyCrashedEndpointsCount: a broken attempt counts as a crash only if the endpoint is gone.
// Connections are also reset, and responses cut or lost, while endpoints are running.
func TestOnlyCrashedEndpointsCount(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(h *harness)
		crashed bool
	}{
		"nothing":         {func(*harness) {}, false},
		"it starts again": {func(h *harness) { h.listEndpoint("e0", 2) }, true},
		"its entry goes": {func(h *harness) {
			h.directory.Apply(directory.Changes{Gone: []directory.RemovedEntry{{ID: "e0", Revision: 99}}}, time.Now())
		}, true},
		"it leaves":                      {func(h *harness) { h.directory.MarkLeaving("e0", 1, time.Now()) }, false},
		"another one is at its address":  {func(h *harness) { h.instances["e0"] = "other" }, true},
		"its responses name no instance": {func(h *harness) { delete(h.instances, "e0") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 1)
				h.listEndpoint("e0", 1)
				h.instances["e0"] = "e0"
				if name == "another one is at its address" {
					c.change(h)
				}
				q := request("a")
				<-h.trackers[0].CheckEndpoint(quarantine.Attempt{Request: q, Endpoint: "e0", Start: 1, Addr: "e0"})
				time.Sleep(time.Second)
				c.change(h)
				time.Sleep(10 * time.Second)
				assert.Equal(t, len(h.trackers[0].List()) == 1, c.crashed)
			})
		})
	}
}

// TestRackFailureDoesNotRefusePopularRequest: the endpoints of a rack, half of a service, fail at
// once while the whole service is processing the same request. No request is refused, and at most
// one is sent on trial.
func TestRackFailureDoesNotRefusePopularRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 30)
		q := request("popular")
		for i, k := range h.trackers {
			endpoint := fmt.Sprintf("e%d", i)
			h.stopEndpoint(endpoint)
			k.CheckEndpoint(quarantine.Attempt{Request: q, Endpoint: endpoint, Start: 1, Addr: endpoint})
		}
		var refusals, trials atomic.Int64
		for round := range 20 {
			for _, k := range h.trackers {
				go func() {
					admission, refused := k.Admit(h.ctx, q)
					if refused != nil {
						refusals.Add(1)
						return
					}
					if admission.Trial {
						trials.Add(1)
					}
					time.Sleep(20 * time.Millisecond) // an endpoint processes it
					k.Completed(q)
				}()
			}
			time.Sleep(time.Duration(10+round) * time.Millisecond)
		}
		time.Sleep(time.Second)
		assert.Equal(t, refusals.Load(), int64(0))
		assert.Assert(t, trials.Load() <= 1, "%d trials", trials.Load())
	})
}

// TestOperatorReleaseAndRefusal: an operator's release or refusal at one balancer holds at all of
// them, and at those that start later.
func TestOperatorReleaseAndRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3)
		q := request("a")
		h.crashUntilRefused(t, h.trackers[0], q)
		time.Sleep(2 * time.Second)
		assert.NilError(t, h.trackers[1].Release(h.ctx, q.Fingerprints.Exact))
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, h.actions(q), []string{"try", "try", "try"})
		time.Sleep(2 * time.Second)
		h.crashOnTrial(t, h.trackers[2], q)
		h.crashOnTrial(t, h.trackers[1], q)
		assert.DeepEqual(t, h.actions(q), []string{"refuse", "refuse", "refuse"})
		time.Sleep(5 * time.Second)
		assert.Equal(t, storedRecord(h, q).State, "refused")

		ordered := request("b")
		assert.NilError(t, h.trackers[1].OrderRefusal(h.ctx, ordered.Fingerprints.Exact))
		time.Sleep(2 * time.Hour)
		assert.DeepEqual(t, h.actions(ordered), []string{"refuse", "refuse", "refuse"})
		_, refused := h.startTracker().Admit(h.ctx, ordered)
		assert.Assert(t, refused != nil)
		assert.NilError(t, h.trackers[3].Release(h.ctx, ordered.Fingerprints.Exact))
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, h.actions(ordered), []string{"send", "send", "send", "send"})
		assert.ErrorIs(t, h.trackers[0].Release(h.ctx, request("c").Fingerprints.Exact), quarantine.ErrUnknown)
		assert.ErrorIs(t, h.trackers[0].OrderRefusal(h.ctx, "abc"), quarantine.ErrInvalid)
	})
}

// TestRefusalExpires: after the refusal period a request is on trial again. Some time after it has
// completed, its history is dropped.
func TestRefusalExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		q := request("a")
		h.crashUntilRefused(t, h.trackers[0], q)
		time.Sleep(crash.RefusalPeriod + time.Second)
		assert.DeepEqual(t, h.actions(q), []string{"try", "try"})
		admission, _ := h.trackers[1].Admit(h.ctx, q)
		assert.Assert(t, admission.Trial)
		h.trackers[1].Completed(q)
		time.Sleep(time.Second)
		assert.DeepEqual(t, h.actions(q), []string{"send", "send"})
		time.Sleep(crash.RefusalPeriod + time.Minute)
		assert.Assert(t, h.trackers[0].Empty() && h.trackers[1].Empty())
	})
}

// TestInvalidRecordsAndNotesAreIgnored: invalid records and notes change nothing.
func TestInvalidRecordsAndNotesAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		q := request("a")
		name := "quarantine/" + string(q.Fingerprints.Exact)
		for _, value := range []string{
			"", "null", "{}", "[]", "\xff", `{"state":"unheard-of"}`, `{"state":1}`, `{"state":"refused","ends":17}`,
			`{"state":"refused","ends":` + strings.Repeat("[", 100) + strings.Repeat("]", 100) + "}", `{"state":"refused","by":"` + strings.Repeat("x", 1<<16) + `"}`,
		} {
			h.trackers[0].ApplyChanges(directory.Changes{Registrations: []directory.Record{{Key: name, Value: []byte(value), Revision: 5}}})
			h.trackers[0].HandleNote(relay.Note{Topic: quarantine.Topic, Data: []byte(value)})
		}
		h.trackers[0].ApplyChanges(directory.Changes{Registrations: []directory.Record{
			{Key: "quarantine/no-fingerprint", Value: []byte(`{"state":"ordered"}`), Revision: 6}, {Key: "relays/medina", Value: []byte("{}"), Revision: 7},
		}})
		_, refused := h.trackers[0].Admit(h.ctx, q)
		assert.Assert(t, refused == nil)
		assert.Assert(t, h.trackers[0].Empty())
	})
}

// TestLostRecordReleasesNothing: a record that the store loses early does not end the refusal, and
// is written again.
func TestLostRecordReleasesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		q := request("a")
		h.crashUntilRefused(t, h.trackers[0], q)
		time.Sleep(10 * time.Second)
		name := "quarantine/" + string(q.Fingerprints.Exact)
		h.mu.Lock()
		h.revision++
		gone := directory.Changes{Registrations: []directory.Record{{Key: name, Revision: h.revision, Gone: true}}}
		delete(h.records, name)
		h.mu.Unlock()
		for _, k := range h.trackers {
			k.ApplyChanges(gone)
		}
		assert.DeepEqual(t, h.actions(q), []string{"refuse", "refuse"})
		time.Sleep(10 * time.Second)
		assert.Equal(t, storedRecord(h, q).State, "refused")
	})
}

// TestOlderRecordOfRestoredStoreReleasesNothing: a store restored from a copy has the release from before the
// present refusal, which holds on and is written again.
func TestOlderRecordOfRestoredStoreReleasesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		q := request("a")
		h.crashUntilRefused(t, h.trackers[0], q)
		time.Sleep(10 * time.Second)
		restored, err := position.New(1, 1)
		assert.NilError(t, err)
		name := "quarantine/" + string(q.Fingerprints.Exact)
		h.trackers[0].ApplyChanges(directory.Changes{Complete: true, Revision: restored, Registrations: []directory.Record{
			{Key: name, Revision: restored, Value: []byte(`{"state":"released"}`)},
		}})
		assert.DeepEqual(t, h.actions(q), []string{"refuse"})
	})
}

// TestEntriesAreBounded: many made-up requests of a service neither exceed its bound of entries nor
// evict a refusal.
func TestEntriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		k := h.trackers[0]
		crashing := request("guilty")
		h.crashUntilRefused(t, k, crashing)
		for i := range 1500 {
			p := crash.Request{Path: fmt.Sprint(i)}.Fingerprints()
			note := fmt.Sprintf(`{"what":"ended","exact":%q,"wide":%q,"service":"s","kind":"k","end":{"endpoint":"e","seen_by":"vm"}}`, p.Exact, p.AnyQuery)
			k.HandleNote(relay.Note{Topic: quarantine.Topic, Data: []byte(note)})
		}
		assert.Assert(t, len(k.List()) <= 1024, "%d", len(k.List()))
		_, refused := k.Admit(h.ctx, crashing)
		assert.Assert(t, refused != nil)
	})
}
