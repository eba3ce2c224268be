package quarantine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/quarantine"
	"github.com/lotuswing/lotuswing/relay"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// rig is a fleet of keepers with the store, the notes and the endpoints that they share, in
// virtual time.
type rig struct {
	ctx       context.Context
	directory *directory.Directory
	lookEvery time.Duration // of the keepers; 0 for the default

	mu        sync.Mutex
	keepers   []*quarantine.Keeper
	down      map[string]bool   // addresses that refuse connections
	instances map[string]string // who answers at other addresses
	records   map[string]record
	revision  uint64
	storeDown bool
	deaf      map[int]bool // keepers that hear and tell nothing
	calls     int          // of the store
	unwilling string       // endpoint that wants no requests
	probes    int
}

type record struct {
	value    []byte
	revision uint64
	lease    uint64
	ends     time.Time // zero for never
}

var errStoreDown = errors.New("store is down")

// newRig starts n keepers, which run until the test ends.
func newRig(t *testing.T, n int) *rig {
	t.Helper()
	return newRigLooking(t, n, 0)
}

// newRigLooking starts n keepers that look again after a time of their own.
func newRigLooking(t *testing.T, n int, lookEvery time.Duration) *rig {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	r := &rig{ctx: ctx, lookEvery: lookEvery, directory: directory.New(), down: map[string]bool{}, instances: map[string]string{}, records: map[string]record{}, deaf: map[int]bool{}}
	r.directory.Apply(directory.Changes{
		Config: &directory.Config{Version: 1, Services: map[string]tenant.Service{"s": {ProbePath: "/health"}}},
	}, time.Now())
	for range n {
		r.start()
	}
	t.Cleanup(func() {
		stop()
		synctest.Wait()
	})
	return r
}

// start starts a keeper, which reads the store's records first.
func (r *rig) start() *quarantine.Keeper {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := len(r.keepers)
	k := quarantine.New(quarantine.Config{
		ID: fmt.Sprintf("vm-%d", number), Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Endpoints: r.directory, Prober: r, Registry: r,
		Tell:    func(topic string, data []byte) error { return r.tell(number, topic, data) },
		Serving: func() bool { return number == 0 },
		Willing: func(endpoint string) bool { return endpoint != r.unwilling },
		Options: quarantine.Options{Now: time.Now, LookEvery: r.lookEvery},
	})
	r.keepers = append(r.keepers, k)
	go k.Run(r.ctx)
	for name, held := range r.records {
		k.Observe(directory.Changes{Registrations: []directory.Record{{Key: name, Value: held.value, Revision: held.revision}}})
	}
	return k
}

// A note takes noteFirst milliseconds to the first keepers, and one more for each step.
const (
	noteFirst = 5
	noteSteps = 25
)

// tell hands a note on to all other keepers, which hear it one after the other. One goroutine
// does so for all: with one each, 7,257 keepers took 16 GB of memory under the race detector.
func (r *rig) tell(from int, topic string, data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.deaf[from] {
		return nil
	}
	var hear [noteSteps][]*quarantine.Keeper
	for to, k := range r.keepers {
		if to != from && !r.deaf[to] {
			step := (to * 7) % noteSteps
			hear[step] = append(hear[step], k)
		}
	}
	go func() {
		pause.For(r.ctx, noteFirst*time.Millisecond)
		for step, keepers := range hear {
			for _, k := range keepers {
				if r.ctx.Err() != nil {
					return
				}
				k.Hear(relay.Note{Origin: "vm", Topic: topic, Data: data, Age: time.Duration(noteFirst+step) * time.Millisecond})
			}
			pause.For(r.ctx, time.Millisecond)
		}
	}()
	return nil
}

// Replace is the store's compare-and-swap.
func (r *rig) Replace(ctx context.Context, name string, value []byte, revision uint64, ttl time.Duration) (uint64, error) {
	pause.For(ctx, 10*time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if r.storeDown {
		return 0, errStoreDown
	}
	held := r.records[name]
	if !held.ends.IsZero() && !time.Now().Before(held.ends) {
		held = record{}
	}
	if held.revision != revision {
		return 0, relay.ErrTaken
	}
	r.revision++
	next := record{value: value, revision: r.revision, lease: r.revision}
	if ttl > 0 {
		next.ends = time.Now().Add(ttl)
	}
	r.records[name] = next
	keepers := slices.Clone(r.keepers)
	go func() {
		pause.For(r.ctx, time.Second)
		for _, k := range keepers {
			if r.ctx.Err() != nil {
				return
			}
			k.Observe(directory.Changes{Registrations: []directory.Record{{Key: name, Value: value, Revision: next.revision}}})
		}
	}()
	return next.lease, nil
}

// Release ends a lease with its record.
func (r *rig) Release(ctx context.Context, lease uint64) error {
	pause.For(ctx, 10*time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if r.storeDown {
		return errStoreDown
	}
	maps.DeleteFunc(r.records, func(_ string, held record) bool { return held.lease == lease })
	return nil
}

// Probe asks an endpoint.
func (r *rig) Probe(ctx context.Context, addr, _ string, _ time.Duration) (upstream.Report, error) {
	pause.For(ctx, time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probes++
	if r.down[addr] {
		return upstream.Report{}, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	}
	return upstream.Report{Instance: r.instances[addr]}, nil
}

// list puts an endpoint's entry into force.
func (r *rig) list(id string, start int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	r.directory.Apply(directory.Changes{Entries: []directory.Entry{{
		Endpoint: directory.Endpoint{Endpoint: placement.Endpoint{VM: id, Addr: id, Zone: "z", Slots: 3}, Service: "s", Start: start}, Revision: r.revision,
	}}}, time.Now())
}

// request returns one with a fingerprint of its own.
func request(name string) quarantine.Request {
	return quarantine.Request{
		ID: "r-" + name, Prints: crash.Subject{Path: name}.Prints(), Service: "s", Kind: "k", Patience: 100 * time.Millisecond,
	}
}

// fail ends an endpoint.
func (r *rig) fail(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[endpoint] = true
}

// setStoreDown lets the store refuse all calls, or answer them again.
func (r *rig) setStoreDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeDown = down
}

// callsSoFar returns how many calls of the store were made.
func (r *rig) callsSoFar() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// ends lets a request end an endpoint at a keeper, and waits until all have heard.
func (r *rig) ends(k *quarantine.Keeper, q quarantine.Request, endpoint string, pass quarantine.Pass) {
	r.fail(endpoint)
	<-k.Broke(quarantine.Attempt{Request: q, Endpoint: endpoint, Start: 1, Addr: endpoint, Trial: pass.Trial, Alone: true})
	time.Sleep(50 * time.Millisecond)
}

// convict lets a request end endpoints at a keeper, on trial as well, until it is refused.
func (r *rig) convict(t *testing.T, k *quarantine.Keeper, q quarantine.Request) {
	t.Helper()
	for range 2 {
		r.ends(k, q, r.another(), quarantine.Pass{})
	}
	for range 2 {
		r.endsOnTrial(t, k, q)
	}
}

// endsOnTrial has a keeper try a request, which ends an endpoint.
func (r *rig) endsOnTrial(t *testing.T, k *quarantine.Keeper, q quarantine.Request) {
	t.Helper()
	pass, refused := k.Admit(r.ctx, q)
	assert.Assert(t, refused == nil && pass.Trial)
	r.ends(k, q, r.another(), pass)
}

// another returns the identity of an endpoint that there was not before.
func (r *rig) another() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("another-%d", len(r.down))
}

// steps returns what each keeper says of a request.
func (r *rig) steps(q quarantine.Request) (all []string) {
	for _, k := range r.keepers {
		step := "send"
		for _, st := range k.List() {
			if st.Fingerprint == q.Prints.Exact {
				step = st.Step
			}
		}
		all = append(all, step)
	}
	return all
}

// TestWhoCrashesOnTrialIsRefused: two ends put a request on trial everywhere, one more on
// trial has it refused everywhere, and by a keeper that starts later.
func TestWhoCrashesOnTrialIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 3)
		q := request("a")
		r.ends(r.keepers[0], q, "e0", quarantine.Pass{})
		assert.DeepEqual(t, r.steps(q), []string{"send", "send", "send"})
		r.ends(r.keepers[1], q, "e1", quarantine.Pass{})
		assert.DeepEqual(t, r.steps(q), []string{"try", "try", "try"})
		r.endsOnTrial(t, r.keepers[2], q)
		assert.DeepEqual(t, r.steps(q), []string{"try", "try", "try"})
		r.endsOnTrial(t, r.keepers[1], q)
		assert.DeepEqual(t, r.steps(q), []string{"refuse", "refuse", "refuse"})
		_, refused := r.keepers[0].Admit(r.ctx, q)
		assert.Assert(t, refused != nil)
		assert.Assert(t, refused.RetryAfter > 9*time.Minute, "it helps nobody to come back before")
		assert.Assert(t, len(refused.Evidence) > 0)
		time.Sleep(time.Second)
		late := r.start()
		_, refused = late.Admit(r.ctx, q)
		assert.Assert(t, refused != nil, "the store's record tells it")
		other := request("b")
		pass, refused := late.Admit(r.ctx, other)
		assert.Assert(t, refused == nil)
		assert.DeepEqual(t, pass, quarantine.Pass{}) // another request is none of this
	})
}

// TestOneTriesAtATime: the others wait for the end of the trial, and are served when the
// request has run.
func TestOneTriesAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 30)
		q := request("a")
		r.ends(r.keepers[0], q, "e0", quarantine.Pass{})
		r.ends(r.keepers[0], q, "e1", quarantine.Pass{})
		var trials, refusals, served atomic.Int64
		for _, k := range r.keepers {
			go func() {
				pass, refused := k.Admit(r.ctx, q)
				switch {
				case refused != nil:
					refusals.Add(1)
				case pass.Trial:
					trials.Add(1)
					time.Sleep(40 * time.Millisecond) // an endpoint runs it
					k.Ran(q)
				default:
					served.Add(1)
				}
			}()
		}
		time.Sleep(time.Second)
		assert.Equal(t, trials.Load(), int64(1))
		assert.Equal(t, served.Load(), int64(29))
		assert.Equal(t, refusals.Load(), int64(0))
		assert.DeepEqual(t, r.keepers[7].List(), []quarantine.Status{})
	})
}

// TestEndpointThatWantsNoRequestsIsNotProbed: what became of it its entry tells.
func TestEndpointThatWantsNoRequestsIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.unwilling = "e0"
		r.ends(r.keepers[0], request("a"), "e0", quarantine.Pass{})
		assert.Equal(t, r.probes, 0)
		r.ends(r.keepers[0], request("a"), "e1", quarantine.Pass{})
		assert.Assert(t, r.probes > 0)
		time.Sleep(10 * time.Second) // the first one is watched
	})
}

// TestTrialNamesWhatHasEnded, so that the request is not sent to what the store still lists.
func TestTrialNamesWhatHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		q := request("a")
		r.ends(r.keepers[0], q, "e0", quarantine.Pass{})
		r.ends(r.keepers[0], q, "e1", quarantine.Pass{})
		pass, refused := r.keepers[1].Admit(r.ctx, q)
		assert.Assert(t, refused == nil && pass.Trial)
		assert.DeepEqual(t, pass.Ended, []placement.Incarnation{{VM: "e0", Start: 1}, {VM: "e1", Start: 1}})
	})
}

// TestTrialThatShowsNothing: others that run out of patience are refused, not sent, and one
// may try again after a while.
func TestTrialThatShowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		q := request("a")
		r.ends(r.keepers[0], q, "e0", quarantine.Pass{})
		r.ends(r.keepers[0], q, "e1", quarantine.Pass{})
		pass, _ := r.keepers[0].Admit(r.ctx, q)
		assert.Assert(t, pass.Trial)
		began := time.Now()
		_, refused := r.keepers[1].Admit(r.ctx, q)
		assert.Assert(t, refused != nil)
		assert.Assert(t, time.Since(began) <= q.Patience+250*time.Millisecond)
		assert.Assert(t, refused.RetryAfter <= time.Second)
		time.Sleep(4 * time.Second)
		pass, _ = r.keepers[1].Admit(r.ctx, q)
		assert.Assert(t, pass.Trial)
	})
}

// TestWithoutTheStore: notes alone tell everybody. Where the store cannot say whether another
// balancer tries a request, each has one trial at a time of its own: nobody is refused because
// the store is down, and what they see together has a request refused that crashes.
func TestWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 3)
		r.setStoreDown(true)
		q := request("a")
		r.ends(r.keepers[0], q, "e0", quarantine.Pass{})
		r.ends(r.keepers[1], q, "e1", quarantine.Pass{})
		pass, refused := r.keepers[2].Admit(r.ctx, q)
		assert.Assert(t, refused == nil && pass.Trial)
		_, refused = r.keepers[2].Admit(r.ctx, q)
		assert.Assert(t, refused != nil, "two at a time at one balancer")
		r.ends(r.keepers[2], q, "e2", pass)
		r.endsOnTrial(t, r.keepers[1], q)
		for _, k := range r.keepers {
			_, refused = k.Admit(r.ctx, q)
			assert.Assert(t, refused != nil)
		}
	})
}

// TestTrialThatIsOver: when a trial has shown nothing, another one begins at once.
func TestTrialThatIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		q := request("a")
		r.ends(r.keepers[0], q, "e0", quarantine.Pass{})
		r.ends(r.keepers[0], q, "e1", quarantine.Pass{})
		pass, _ := r.keepers[0].Admit(r.ctx, q)
		assert.Assert(t, pass.Trial)
		go func() {
			time.Sleep(40 * time.Millisecond) // no endpoint could be found for it
			r.keepers[0].Over(q)
		}()
		pass, refused := r.keepers[1].Admit(r.ctx, q)
		assert.Assert(t, refused == nil && pass.Trial)
		r.keepers[0].Over(q) // of a trial that it has no more
		_, refused = r.keepers[0].Admit(r.ctx, q)
		assert.Assert(t, refused != nil, "the other one still tries it")
	})
}

// TestRefusalIsRecordedWhenTheStoreReturns, by the one that found it or, where that one has
// gone, by another.
func TestRefusalIsRecordedWhenTheStoreReturns(t *testing.T) {
	for _, foundBy := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 2)
			q := request("a")
			r.ends(r.keepers[0], q, "e0", quarantine.Pass{})
			r.ends(r.keepers[0], q, "e1", quarantine.Pass{})
			r.endsOnTrial(t, r.keepers[foundBy], q)
			pass, _ := r.keepers[foundBy].Admit(r.ctx, q)
			r.setStoreDown(true)
			r.ends(r.keepers[foundBy], q, "e2", pass)
			time.Sleep(20 * time.Second)
			r.setStoreDown(false)
			time.Sleep(20 * time.Second)
			calls := r.callsSoFar()
			assert.DeepEqual(t, recorded(r, q).State, "refused")
			assert.Equal(t, len(recorded(r, q).Ends), 4)
			time.Sleep(time.Minute)
			assert.Equal(t, r.callsSoFar(), calls, "nobody writes it again")
		})
	}
}

// recorded returns the store's record of a request.
func recorded(r *rig, q quarantine.Request) (said quarantine.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if held, ok := r.records["quarantine/"+string(q.Prints.Exact)]; ok {
		if err := json.Unmarshal(held.value, &said); err != nil {
			panic(err)
		}
	}
	return said
}

// TestEndpointThatLivesIsNoEnd: connections are reset, responses cut and lost while endpoints
// live. Only an endpoint that is gone counts, whoever tells it.
func TestEndpointThatLivesIsNoEnd(t *testing.T) {
	for name, c := range map[string]struct {
		happens func(r *rig)
		counts  bool
	}{
		"nothing":         {func(*rig) {}, false},
		"it starts again": {func(r *rig) { r.list("e0", 2) }, true},
		"its entry goes": {func(r *rig) {
			r.directory.Apply(directory.Changes{Gone: []directory.Gone{{ID: "e0", Revision: 99}}}, time.Now())
		}, true},
		"it leaves":                     {func(r *rig) { r.directory.MarkLeaving("e0", 1, time.Now()) }, false},
		"another one is at its address": {func(r *rig) { r.instances["e0"] = "other" }, true},
		"its address is silent":         {func(r *rig) { delete(r.instances, "e0") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				r.list("e0", 1)
				r.instances["e0"] = "e0"
				if name == "another one is at its address" {
					c.happens(r)
				}
				q := request("a")
				<-r.keepers[0].Broke(quarantine.Attempt{Request: q, Endpoint: "e0", Start: 1, Addr: "e0"})
				time.Sleep(time.Second)
				c.happens(r)
				time.Sleep(10 * time.Second)
				assert.Equal(t, len(r.keepers[0].List()) == 1, c.counts)
			})
		})
	}
}

// TestRackThatFailsUnderAPopularPath: half of a service ends at once while all of it works on
// the same request. Nobody is refused, and one trial is all that it costs.
func TestRackThatFailsUnderAPopularPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 30)
		q := request("popular")
		for i, k := range r.keepers {
			endpoint := fmt.Sprintf("e%d", i)
			r.fail(endpoint)
			k.Broke(quarantine.Attempt{Request: q, Endpoint: endpoint, Start: 1, Addr: endpoint})
		}
		var refusals, trials atomic.Int64
		for round := range 20 {
			for _, k := range r.keepers {
				go func() {
					pass, refused := k.Admit(r.ctx, q)
					if refused != nil {
						refusals.Add(1)
						return
					}
					if pass.Trial {
						trials.Add(1)
					}
					time.Sleep(20 * time.Millisecond) // an endpoint runs it
					k.Ran(q)
				}()
			}
			time.Sleep(time.Duration(10+round) * time.Millisecond)
		}
		time.Sleep(time.Second)
		assert.Equal(t, refusals.Load(), int64(0))
		assert.Assert(t, trials.Load() <= 1, "%d trials", trials.Load())
	})
}

// TestOperators release and order, at any balancer, for all of them and those that start
// later.
func TestOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 3)
		q := request("a")
		r.convict(t, r.keepers[0], q)
		time.Sleep(2 * time.Second)
		assert.NilError(t, r.keepers[1].Release(r.ctx, q.Prints.Exact))
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, r.steps(q), []string{"try", "try", "try"})
		time.Sleep(2 * time.Second)
		r.endsOnTrial(t, r.keepers[2], q)
		r.endsOnTrial(t, r.keepers[1], q)
		assert.DeepEqual(t, r.steps(q), []string{"refuse", "refuse", "refuse"})
		time.Sleep(5 * time.Second)
		assert.Equal(t, recorded(r, q).State, "refused")

		ordered := request("b")
		assert.NilError(t, r.keepers[1].Order(r.ctx, ordered.Prints.Exact))
		time.Sleep(2 * time.Hour)
		assert.DeepEqual(t, r.steps(ordered), []string{"refuse", "refuse", "refuse"})
		_, refused := r.start().Admit(r.ctx, ordered)
		assert.Assert(t, refused != nil)
		assert.NilError(t, r.keepers[3].Release(r.ctx, ordered.Prints.Exact))
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, r.steps(ordered), []string{"send", "send", "send", "send"})
		assert.ErrorIs(t, r.keepers[0].Release(r.ctx, request("c").Prints.Exact), quarantine.ErrUnknown)
		assert.ErrorIs(t, r.keepers[0].Order(r.ctx, "abc"), quarantine.ErrInvalid)
	})
}

// TestRefusalEndsByItself: after a while one trial decides again, and later nothing is known.
func TestRefusalEndsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		q := request("a")
		r.convict(t, r.keepers[0], q)
		time.Sleep(crash.HoldFor + time.Second)
		assert.DeepEqual(t, r.steps(q), []string{"try", "try"})
		pass, _ := r.keepers[1].Admit(r.ctx, q)
		assert.Assert(t, pass.Trial)
		r.keepers[1].Ran(q)
		time.Sleep(time.Second)
		assert.DeepEqual(t, r.steps(q), []string{"send", "send"})
		time.Sleep(crash.HoldFor + time.Minute)
		assert.Assert(t, r.keepers[0].Quiet() && r.keepers[1].Quiet())
	})
}

// TestDamagedWordsChangeNothing: records and notes of other writers.
func TestDamagedWordsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		q := request("a")
		name := "quarantine/" + string(q.Prints.Exact)
		for _, value := range []string{"", "null", "{}", "[]", "\xff", `{"state":"unheard-of"}`, `{"state":1}`, `{"state":"refused","ends":17}`} {
			r.keepers[0].Observe(directory.Changes{Registrations: []directory.Record{{Key: name, Value: []byte(value), Revision: 5}}})
			r.keepers[0].Hear(relay.Note{Topic: quarantine.Topic, Data: []byte(value)})
		}
		r.keepers[0].Observe(directory.Changes{Registrations: []directory.Record{
			{Key: "quarantine/no-fingerprint", Value: []byte(`{"state":"ordered"}`), Revision: 6}, {Key: "relays/medina", Value: []byte("{}"), Revision: 7},
		}})
		_, refused := r.keepers[0].Admit(r.ctx, q)
		assert.Assert(t, refused == nil)
		assert.Assert(t, r.keepers[0].Quiet())
	})
}

// TestStoreThatLosesItsKeysReleasesNobody: a record that ends early is no word of anybody,
// and is written again.
func TestStoreThatLosesItsKeysReleasesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		q := request("a")
		r.convict(t, r.keepers[0], q)
		time.Sleep(10 * time.Second)
		name := "quarantine/" + string(q.Prints.Exact)
		r.mu.Lock()
		r.revision++
		gone := directory.Changes{Registrations: []directory.Record{{Key: name, Revision: r.revision, Gone: true}}}
		delete(r.records, name)
		r.mu.Unlock()
		for _, k := range r.keepers {
			k.Observe(gone)
		}
		assert.DeepEqual(t, r.steps(q), []string{"refuse", "refuse"})
		time.Sleep(10 * time.Second)
		assert.Equal(t, recorded(r, q).State, "refused")
	})
}

// TestKeeperIsBounded: made-up requests push out neither each other's memory bound nor the
// refusals, and those of one service leave room for others.
func TestKeeperIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		k := r.keepers[0]
		guilty := request("guilty")
		r.convict(t, k, guilty)
		for i := range 1500 {
			p := crash.Subject{Path: fmt.Sprint(i)}.Prints()
			note := fmt.Sprintf(`{"what":"ended","exact":%q,"wide":%q,"service":"s","kind":"k","end":{"endpoint":"e","seen_by":"vm"}}`, p.Exact, p.Wide)
			k.Hear(relay.Note{Topic: quarantine.Topic, Data: []byte(note)})
		}
		assert.Assert(t, len(k.List()) <= 1024, "%d", len(k.List()))
		_, refused := k.Admit(r.ctx, guilty)
		assert.Assert(t, refused != nil)
	})
}
