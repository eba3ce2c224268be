package relay

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/bootstrap"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/link"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// staticFollower is a Follower whose state does not change.
type staticFollower struct {
	Follower
	settled bool
	// confirmed is what Confirmed returns.
	confirmed time.Time
	read      *atomic.Int64 // number of reads of the registrations
	retried   *atomic.Int64 // number of calls of EndRetryPause
}

// UpToDate returns the configured value.
func (f staticFollower) UpToDate(time.Time) bool { return f.settled }

// Active reports that the follower watches the store, also while it is not settled.
func (f staticFollower) Active() bool { return true }

// SetActive does nothing.
func (f staticFollower) SetActive(bool) {}

// SetServing does nothing.
func (f staticFollower) SetServing(bool) {}

// ReadAgain does nothing.
func (f staticFollower) ReadAgain() {}

// Confirmed returns the configured value.
func (f staticFollower) Confirmed() time.Time { return f.confirmed }

// Confirm does nothing.
func (f staticFollower) Confirm(time.Time) {}

// EndRetryPause counts its calls.
func (f staticFollower) EndRetryPause() { f.retried.Add(1) }

// ReadRegistrations counts its calls and finds no registration.
func (f staticFollower) ReadRegistrations(context.Context) error {
	f.read.Add(1)
	return nil
}

// fakeRegistry is a Registry whose leases never expire.
type fakeRegistry struct {
	Registry
	down bool // all calls fail
}

// Renew succeeds unless the registry is down.
func (r fakeRegistry) Renew(context.Context, uint64) error {
	if r.down {
		return errors.New("store is down")
	}
	return nil
}

// Replace succeeds unless the registry is down.
func (r fakeRegistry) Replace(context.Context, string, []byte, uint64, time.Duration) (uint64, error) {
	return 0, r.Renew(context.Background(), 0)
}

// TestRegistryAnswerEndsFollowerPause checks that a successful registration or renewal makes the
// follower ask for changes at once, and that a failed one does not.
func TestRegistryAnswerEndsFollowerPause(t *testing.T) {
	for _, down := range []bool{false, true} {
		f := staticFollower{retried: new(atomic.Int64)}
		g := New(Config{Zone: "medina", Registry: fakeRegistry{down: down}, Log: hclog.NewNullLogger(), Options: Options{TTL: time.Millisecond}})
		g.follower = f
		g.renew(t.Context(), Relay{})
		g.register(t.Context())
		want := int64(2)
		if down {
			want = 0
		}
		assert.Equal(t, f.retried.Load(), want)
	}
}

// startStaticGroup starts a group with a staticFollower and returns it with its address.
func startStaticGroup(t *testing.T, settled bool) (*Group, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	g := New(Config{ID: addr, Zone: "medina", Addr: addr, Registry: fakeRegistry{}, Log: hclog.NewNullLogger()})
	assert.NilError(t, g.Start(l, staticFollower{settled: settled, read: new(atomic.Int64), retried: new(atomic.Int64)}))
	t.Cleanup(g.Close)
	return g, addr
}

// TestPredecessorIsNotified checks that a relay whose predecessor reported the store lost tells the
// predecessor that it is in touch with the store, and stops once the predecessor no longer reports
// this.
func TestPredecessorIsNotified(t *testing.T) {
	ctx, start := context.Background(), time.Now() // nothing that is recorded after start has expired at start
	old, oldAddr := startStaticGroup(t, false)
	next, nextAddr := startStaticGroup(t, true)
	next.replica.apply(directory.Changes{Revision: 2, Complete: true, Registrations: []directory.Record{
		{Key: "relays/medina", Value: []byte(`{"id":"next","addr":"` + nextAddr + `"}`), Revision: 2},
	}}, time.Now())
	s := subscription{lastRelay: Relay{Addr: oldAddr, Zone: "medina", revision: 1}}
	next.followOnce(ctx, &s)
	assert.Equal(t, old.askerInTouch(start), "", "the predecessor has not reported the store lost")
	s.recordReport(s.lastRelay, unsettledError{lost: true, askers: 1}, time.Now())
	next.followOnce(ctx, &s)
	assert.Equal(t, old.askerInTouch(start), nextAddr)
	assert.Assert(t, s.outage.reportedBy(oldAddr, start), "the predecessor still reports the store lost")
	got, ok := old.chooseTarget(&subscription{}, start)
	assert.Assert(t, ok && got.Addr == nextAddr, "without a registration, the predecessor follows its successor")

	back, backAddr := startStaticGroup(t, true)
	s.lastRelay.Addr = backAddr
	s.recordReport(s.lastRelay, unsettledError{lost: true, askers: 1}, time.Now())
	next.followOnce(ctx, &s)
	assert.Assert(t, !s.outage.reportedBy(backAddr, start), "the predecessor is in touch again")
	assert.Equal(t, back.askerInTouch(start), nextAddr)
}

// TestAnswerClearsPenalty checks that a relay which was penalized because it had lost the store is
// asked again as soon as it has answered a call that waited there.
func TestAnswerClearsPenalty(t *testing.T) {
	now := time.Now()
	g := New(Config{Zone: "medina", Addr: "10.0.0.2:1", Log: hclog.NewNullLogger()})
	g.follower = staticFollower{retried: new(atomic.Int64)}
	g.replica.apply(directory.Changes{Revision: 2, Complete: true, Registrations: []directory.Record{
		{Key: "relays/medina", Value: []byte(`{"id":"vm","addr":"10.0.0.1:1"}`), Revision: 2},
	}}, now)
	var s subscription
	relay, ok := g.chooseTarget(&s, now)
	assert.Assert(t, ok)
	g.recordFailure(relay, &s, unsettledError{lost: true}, now)
	_, ok = g.chooseTarget(&s, now)
	assert.Assert(t, !ok, "the penalized relay is not asked")
	g.recordAnswer(relay, &s, now)
	got, ok := g.chooseTarget(&s, now)
	assert.Assert(t, ok && got.Addr == relay.Addr)
}

// TestPenalizedRelayThatHasTheStoreBackIsFound guards against balancers that wait at a relay which has lost the store
// while another one, penalized for the same, has it back.
func TestPenalizedRelayThatHasTheStoreBackIsFound(t *testing.T) {
	_, lostAddr := startStaticGroup(t, false)
	_, backAddr := startStaticGroup(t, true)
	now := time.Now()
	g := New(Config{Zone: "medina", Addr: "10.0.0.2:1", Log: hclog.NewNullLogger()})
	g.follower = staticFollower{read: new(atomic.Int64), retried: new(atomic.Int64)}
	g.replica.apply(directory.Changes{Revision: 3, Complete: true, Registrations: []directory.Record{
		{Key: "relays/medina", Value: []byte(`{"id":"lost","addr":"` + lostAddr + `"}`), Revision: 2},
		{Key: "relays/tribunal", Value: []byte(`{"id":"back","addr":"` + backAddr + `"}`), Revision: 3},
	}}, now)
	var s subscription
	for _, r := range g.replica.allRelays() {
		s.recordReport(r, unsettledError{lost: true, askers: 1}, now)
		g.recordFailure(r, &s, unsettledError{lost: true}, now)
	}
	s.outage.probeAt = now.Add(time.Hour)
	g.followOnce(t.Context(), &s)
	assert.Equal(t, s.relayAddr, backAddr)
}

// TestNotesArriveWhileOnlyRelayIsPenalized checks that a balancer gets notes from a relay that it does not
// follow for being late, and goes on watching the store.
func TestNotesArriveWhileOnlyRelayIsPenalized(t *testing.T) {
	relay, relayAddr := startStaticGroup(t, false)
	heard := make(chan Note, 1)
	g := New(Config{Zone: "medina", Addr: "10.0.0.2:1", Log: hclog.NewNullLogger(), OnNote: func(n Note) { heard <- n }})
	g.follower = staticFollower{retried: new(atomic.Int64)}
	g.replica.apply(directory.Changes{Revision: 2, Complete: true, Registrations: []directory.Record{
		{Key: "relays/medina", Value: []byte(`{"id":"vm","addr":"` + relayAddr + `"}`), Revision: 2},
	}}, time.Now())
	late := Relay{Addr: relayAddr}
	g.penalize(late, time.Now().Add(time.Hour), time.Now())
	assert.NilError(t, relay.Publish("topic", []byte("text")))
	var s subscription
	g.followOnce(t.Context(), &s)
	select {
	case n := <-heard:
		assert.Equal(t, string(n.Data), "text")
	case <-time.After(20 * time.Second):
		t.Fatal("no note")
	}
	g.done.Wait()
	_, ok := g.chooseTarget(&s, time.Now())
	assert.Assert(t, !ok && s.relayAddr == "", "the relay is still penalized")
}

// TestCallForChangesOutlivesNotesPoll checks that the end of a call for notes does not close the
// connection of a call for changes that began later.
func TestCallForChangesOutlivesNotesPoll(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and answers nothing
	assert.NilError(t, err)
	defer func() { assert.NilError(t, silent.Close()) }()
	var log bytes.Buffer
	g := New(Config{Zone: "medina", Addr: "10.0.0.2:1", Log: hclog.New(&hclog.LoggerOptions{Output: &log})})
	g.follower = staticFollower{retried: new(atomic.Int64)}
	g.replica.apply(directory.Changes{Revision: 2, Complete: true, Registrations: []directory.Record{
		{Key: "relays/medina", Value: []byte(`{"id":"vm","addr":"` + silent.Addr().String() + `"}`), Revision: 2},
	}}, time.Now())
	relay, ok := g.replica.relay("medina")
	assert.Assert(t, ok)
	g.penalize(relay, time.Now().Add(time.Hour), time.Now())
	s := subscription{relayAddr: relay.Addr}
	g.followOnce(t.Context(), &s)
	assert.Assert(t, s.endNotesPoll != nil)
	g.clearPenalty(relay)
	g.followOnce(t.Context(), &s)
	g.done.Wait()
	assert.Assert(t, strings.Contains(log.String(), link.ErrSilent.Error()), log.String())
}

// TestBootstrapSourceIsAskedForRelays checks that a balancer which has just started and knows no
// relay asks the balancer that provided its first copy, and reads the store only if that one knows
// no relay either.
func TestBootstrapSourceIsAskedForRelays(t *testing.T) {
	ctx := context.Background()
	_, relayAddr := startStaticGroup(t, true)
	giver, giverAddr := startStaticGroup(t, false)
	reads := new(atomic.Int64)
	g := New(Config{Zone: "medina", Addr: "10.0.0.2:1", Log: hclog.NewNullLogger(), Options: Options{StartPoll: time.Millisecond}})
	g.follower = staticFollower{read: reads, retried: new(atomic.Int64)}
	g.starting.Store(true)
	g.bootstrapResult = bootstrap.Result{Source: giverAddr}
	var s subscription
	g.handleNoRelay(ctx, &s)
	assert.Equal(t, reads.Load(), int64(1), "the bootstrap source knows no relay")
	giver.starting.Store(true)
	giver.replica.apply(directory.Changes{Revision: 1, Complete: true, Registrations: []directory.Record{
		{Key: "relays/tribunal", Value: []byte(`{"id":"other","addr":"` + relayAddr + `"}`), Revision: 1},
	}}, time.Now())
	g.handleNoRelay(ctx, &s)
	assert.Equal(t, reads.Load(), int64(1), "the bootstrap source has learned of a relay")
	got, ok := g.chooseTarget(&s, time.Now())
	assert.Assert(t, ok && got.Addr == relayAddr)
	g.bootstrapResult = bootstrap.Result{Source: bootstrap.FromStore}
	g.handleNoRelay(ctx, &subscription{})
	assert.Equal(t, reads.Load(), int64(2), "the first copy came from the store")

	g.replica.apply(directory.Changes{Revision: 2, Complete: true, Registrations: []directory.Record{
		{Key: "relays/medina", Value: []byte(`{"id":"own","addr":"10.0.0.3:1"}`), Revision: 1},
		{Key: "relays/tribunal", Value: []byte(`{"id":"other","addr":"` + relayAddr + `"}`), Revision: 2},
	}}, time.Now())
	g.recordAnswer(got, &s, time.Now())
	got, ok = g.chooseTarget(&s, time.Now())
	assert.Assert(t, ok && got.Addr == "10.0.0.3:1", "the relay of the own zone takes precedence")
}

// settableFollower is a staticFollower that is settled until lost is set.
type settableFollower struct {
	staticFollower
	lost *atomic.Bool
}

// UpToDate returns false once lost is set.
func (f settableFollower) UpToDate(time.Time) bool { return !f.lost.Load() }

// TestRelayReportsStoreLossAtOnce checks that a call which waits for changes is answered as soon as
// the relay loses the store, not at the end of its wait. Users saw a configuration 70 ms later than
// allowed: followers learned 1.3 s after the change that their relay had lost the store, and 0.4 s
// of that their calls waited at the relay although it knew.
func TestRelayReportsStoreLossAtOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	lost := new(atomic.Bool)
	relay := New(Config{ID: addr, Zone: "medina", Addr: addr, Registry: fakeRegistry{}, Log: hclog.NewNullLogger()})
	assert.NilError(t, relay.Start(l, settableFollower{staticFollower: staticFollower{read: new(atomic.Int64), retried: new(atomic.Int64)}, lost: lost}))
	t.Cleanup(relay.Close)
	relay.replica.apply(directory.Changes{Revision: 2, Complete: true}, time.Now())
	l, err = net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	follower := New(Config{ID: "b", Zone: "medina", Addr: l.Addr().String(), Registry: fakeRegistry{}, Log: hclog.NewNullLogger(), Options: Options{Wait: maxWait}})
	assert.NilError(t, follower.Start(l, staticFollower{read: new(atomic.Int64), retried: new(atomic.Int64)}))
	t.Cleanup(follower.Close)
	follower.replica.apply(directory.Changes{Revision: 2, Complete: true}, time.Now())
	answered := make(chan error, 1)
	go func() {
		answered <- follower.fetchChanges(context.Background(), Relay{Addr: addr, Zone: "medina"}, 0)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if relay.askerCount() == 0 {
			return poll.Continue("not asked yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	lost.Store(true)
	relay.OnFailure()
	select {
	case err := <-answered:
		var unsettled unsettledError
		assert.Assert(t, errors.As(err, &unsettled), "%v", err)
	case <-time.After(maxWait / 2):
		t.Fatal("the call still waits after the relay lost the store")
	}
}

// askerCount returns the number of balancers that asked lately.
func (g *Group) askerCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.askers.lastAsked)
}
