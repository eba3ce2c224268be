package relay

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/bootstrap"
	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
)

// still is a follower of which nothing changes.
type still struct {
	Follower
	settled bool
	read    *atomic.Int64 // readings of the registrations
}

// Settled is as it was made.
func (f still) Settled(time.Time) bool { return f.settled }

// Active: it follows the store, and waits for an answer where it is not settled.
func (f still) Active() bool { return true }

// SetActive changes nothing.
func (f still) SetActive(bool) {}

// SetServing changes nothing.
func (f still) SetServing(bool) {}

// ReadRegistrations finds none.
func (f still) ReadRegistrations(context.Context) error {
	f.read.Add(1)
	return nil
}

// renewing is a registry whose leases never end.
type renewing struct{ Registry }

// Renew extends it.
func (renewing) Renew(context.Context, uint64) error { return nil }

// startStill starts a balancer with such a follower, and returns it with its address.
func startStill(t *testing.T, settled bool) (*Group, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	g := New(Config{ID: addr, Zone: "medina", Addr: addr, Registry: renewing{}, Log: hclog.NewNullLogger()})
	assert.NilError(t, g.Start(l, still{settled: settled, read: new(atomic.Int64)}))
	t.Cleanup(g.Close)
	return g, addr
}

// TestPredecessorIsTold: a relay whose predecessor said that it has lost the store tells
// it that it is in touch, and no longer than that one says so.
func TestPredecessorIsTold(t *testing.T) {
	ctx, start := context.Background(), time.Now() // what is noted later is fresh at start, too
	old, oldAddr := startStill(t, false)
	next, nextAddr := startStill(t, true)
	next.replica.apply(directory.Changes{At: 2, Whole: true, Registrations: []directory.Record{
		{Key: "relays/medina", Value: []byte(`{"id":"next","addr":"` + nextAddr + `"}`), Revision: 2},
	}}, time.Now())
	s := subscription{last: Relay{Addr: oldAddr, Zone: "medina", revision: 1}}
	next.followOnce(ctx, &s)
	assert.Equal(t, old.inTouch(start), "", "it has not said so")
	s.noteWord(s.last, unsettledError{lost: true, askers: 1}, time.Now())
	next.followOnce(ctx, &s)
	assert.Equal(t, old.inTouch(start), nextAddr)
	assert.Assert(t, s.outage.said(oldAddr, start), "it still says so")
	got, ok := old.choose(&subscription{}, start)
	assert.Assert(t, ok && got.Addr == nextAddr, "nobody is registered: it follows its successor")

	back, backAddr := startStill(t, true)
	s.last.Addr = backAddr
	s.noteWord(s.last, unsettledError{lost: true, askers: 1}, time.Now())
	next.followOnce(ctx, &s)
	assert.Assert(t, !s.outage.said(backAddr, start), "it is in touch again")
	assert.Equal(t, back.inTouch(start), nextAddr)
}

// TestRelayThatAnswersIsAskedAgain: a relay that was left alone while it had lost the
// store is asked like any other as soon as it has answered a question that waited there.
func TestRelayThatAnswersIsAskedAgain(t *testing.T) {
	now := time.Now()
	g := New(Config{Zone: "medina", Addr: "10.0.0.2:1", Log: hclog.NewNullLogger()})
	g.follower = still{}
	g.replica.apply(directory.Changes{At: 2, Whole: true, Registrations: []directory.Record{
		{Key: "relays/medina", Value: []byte(`{"id":"vm","addr":"10.0.0.1:1"}`), Revision: 2},
	}}, now)
	var s subscription
	relay, ok := g.choose(&s, now)
	assert.Assert(t, ok)
	g.left(relay, &s, unsettledError{lost: true}, now)
	_, ok = g.choose(&s, now)
	assert.Assert(t, !ok, "it is left alone")
	g.followedRelay(relay, &s, now)
	got, ok := g.choose(&s, now)
	assert.Assert(t, ok && got.Addr == relay.Addr)
}

// TestGiverIsAskedForRelays: a balancer that has just started and knows no relay asks the
// one that handed its first copy on, and the store only where that one knows none either.
func TestGiverIsAskedForRelays(t *testing.T) {
	ctx := context.Background()
	_, relayAddr := startStill(t, true)
	giver, giverAddr := startStill(t, false)
	readings := new(atomic.Int64)
	g := New(Config{Zone: "medina", Addr: "10.0.0.2:1", Log: hclog.NewNullLogger(), Options: Options{StartPoll: time.Millisecond}})
	g.follower = still{read: readings}
	g.starting.Store(true)
	g.first = bootstrap.Result{From: giverAddr}
	var s subscription
	g.withoutRelay(ctx, &s)
	assert.Equal(t, readings.Load(), int64(1), "the giver knows no relay")
	giver.starting.Store(true)
	giver.replica.apply(directory.Changes{At: 1, Whole: true, Registrations: []directory.Record{
		{Key: "relays/tribunal", Value: []byte(`{"id":"other","addr":"` + relayAddr + `"}`), Revision: 1},
	}}, time.Now())
	g.withoutRelay(ctx, &s)
	assert.Equal(t, readings.Load(), int64(1), "it has heard of one since")
	got, ok := g.choose(&s, time.Now())
	assert.Assert(t, ok && got.Addr == relayAddr)
	g.first = bootstrap.Result{From: bootstrap.FromStore}
	g.withoutRelay(ctx, &subscription{})
	assert.Equal(t, readings.Load(), int64(2), "nobody handed the copy on")

	g.replica.apply(directory.Changes{At: 2, Whole: true, Registrations: []directory.Record{
		{Key: "relays/medina", Value: []byte(`{"id":"own","addr":"10.0.0.3:1"}`), Revision: 1},
		{Key: "relays/tribunal", Value: []byte(`{"id":"other","addr":"` + relayAddr + `"}`), Revision: 2},
	}}, time.Now())
	g.followedRelay(got, &s, time.Now())
	got, ok = g.choose(&s, time.Now())
	assert.Assert(t, ok && got.Addr == "10.0.0.3:1", "the relay of the own zone goes first")
}
