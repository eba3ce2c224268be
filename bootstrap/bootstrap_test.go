package bootstrap_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/bootstrap"
	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
)

// fleet simulates a store and its balancers in memory, in virtual time.
type fleet struct {
	mu       sync.Mutex
	down     bool             // calls to the store fail
	relays   []bootstrap.Peer // registered in the store
	dead     map[string]bool  // balancers that never answer
	members  map[string]*member
	seeds    []string
	reads    int           // calls of Read
	readTime time.Duration // duration of one Read
	partTime time.Duration // time until Read has applied a part; 0 if the store is so small that there are no parts
	lateBy   time.Duration // time from the end of a Read until it returns
	copyTime time.Duration // additional transfer time of a complete copy over that of a part
}

// member is one balancer, which implements State, Store and Peers for its own Fetcher.
type member struct {
	fleet         *fleet
	self          bootstrap.Peer
	server        *bootstrap.Server
	known         chan struct{}    // closed once a complete copy was applied
	partly        chan struct{}    // closed once a part or a complete copy was applied
	relays        []bootstrap.Peer // as read from the store; nil before
	at            uint64           // revision of the complete copy; 0 before
	completeAfter time.Duration    // time from the start until a complete copy was applied
	servableAfter time.Duration    // time from the start until a part or a complete copy was applied
	startedAt     time.Time
	result        chan bootstrap.Result // of its Fetcher
}

var (
	errDown        = errors.New("store is down")
	errUnreachable = errors.New("connection refused")
)

func newFleet() *fleet {
	return &fleet{dead: map[string]bool{}, members: map[string]*member{}, readTime: 50 * time.Millisecond}
}

// start starts a balancer.
func (f *fleet) start(ctx context.Context, self bootstrap.Peer, cores float64) *member {
	m := &member{fleet: f, self: self, known: make(chan struct{}), partly: make(chan struct{}), result: make(chan bootstrap.Result, 1), startedAt: time.Now()}
	m.server = bootstrap.NewServer(m, 0)
	f.mu.Lock()
	f.members[self.Addr] = m
	f.mu.Unlock()
	fetcher := bootstrap.New(bootstrap.Config{Self: self, Seeds: f.seeds, Cores: cores, State: m, Store: m, Peers: m, Server: m.server})
	go func() { m.result <- fetcher.Run(ctx) }()
	return m
}

func (m *member) Complete() <-chan struct{} { return m.known }

func (m *member) Records() ([]directory.Record, uint64) {
	return []directory.Record{{Key: "k", Value: []byte("v"), Revision: m.at}}, m.at
}

func (m *member) Apply(_ []directory.Record, at uint64) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.markServable()
	if m.at == 0 {
		m.at, m.completeAfter = at, time.Since(m.startedAt)
		close(m.known)
	}
}

func (m *member) Servable() <-chan struct{} { return m.partly }

func (m *member) Part() []directory.Record {
	return []directory.Record{{Key: "k", Value: []byte("v"), Revision: 1}}
}

func (m *member) PartIsComplete() bool { return m.fleet.partTime == 0 }

func (m *member) ApplyPart([]directory.Record) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.markServable()
}

// markServable records that the member can serve requests. The caller holds fleet.mu.
func (m *member) markServable() {
	if m.servableAfter == 0 {
		m.servableAfter = time.Since(m.startedAt)
		close(m.partly)
	}
}

func (m *member) Relays() []bootstrap.Peer {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.relays
}

func (m *member) ReadRegistrations(context.Context) error {
	time.Sleep(4 * time.Millisecond)
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.fleet.down {
		return errDown
	}
	m.relays = m.fleet.relays
	return nil
}

func (m *member) Read(context.Context) error {
	m.fleet.mu.Lock()
	m.fleet.reads++
	down := m.fleet.down
	m.fleet.mu.Unlock()
	if partTime := m.fleet.partTime; partTime > 0 && !down {
		time.Sleep(partTime)
		m.ApplyPart(nil)
	}
	time.Sleep(m.fleet.readTime - m.fleet.partTime)
	if down {
		return errDown
	}
	m.Apply(nil, 7)
	time.Sleep(m.fleet.lateBy)
	return nil
}

func (m *member) Copy(ctx context.Context, addr string, connect time.Duration, args bootstrap.CopyArgs) (bootstrap.CopyReply, error) {
	time.Sleep(3 * time.Millisecond)
	m.fleet.mu.Lock()
	peer, dead := m.fleet.members[addr], m.fleet.dead[addr]
	m.fleet.mu.Unlock()
	switch {
	case dead && connect > 0:
		time.Sleep(connect)
		return bootstrap.CopyReply{}, errUnreachable
	case dead:
		<-ctx.Done()
		return bootstrap.CopyReply{}, ctx.Err()
	case peer == nil:
		return bootstrap.CopyReply{}, errUnreachable
	}
	reply, err := peer.server.Answer(ctx, args)
	if len(reply.Packed) > 0 && !reply.Part {
		time.Sleep(m.fleet.copyTime)
	}
	return reply, err
}

// newTestContext returns a context for the balancers of a test, and a function that cancels it and
// waits until the calls in progress have returned: virtual time no longer advances once the test's
// own goroutine has ended.
func newTestContext(t *testing.T) (context.Context, func()) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	return ctx, func() {
		stop()
		time.Sleep(time.Second)
	}
}

// zonePeers returns n balancers of a zone.
func zonePeers(zone string, n int) (list []bootstrap.Peer) {
	for i := range n {
		list = append(list, bootstrap.Peer{Addr: fmt.Sprint(zone, i), Zone: zone})
	}
	return list
}

// longestCopyTime waits until all members have a complete copy, checks its revision, and returns the
// longest time that a member took.
func longestCopyTime(t *testing.T, all []*member) time.Duration {
	t.Helper()
	var longest time.Duration
	for _, m := range all {
		<-m.known
		assert.Equal(t, m.at, uint64(7))
		longest = max(longest, m.completeAfter)
	}
	return longest
}

// TestOnlyRelaysReadStore tests that in a fleet that starts together only the registered relays read the
// store, and that all balancers have a copy soon after them.
func TestOnlyRelaysReadStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := newTestContext(t)
		defer stop()
		f := newFleet()
		var all []*member
		a, b := zonePeers("a", 200), zonePeers("b", 100)
		f.relays = []bootstrap.Peer{a[17], b[3]}
		for _, p := range append(a, b...) {
			all = append(all, f.start(ctx, p, 0.16))
		}
		assert.Assert(t, longestCopyTime(t, all) < 150*time.Millisecond, "%v", longestCopyTime(t, all))
		assert.Equal(t, f.reads, 2)
	})
}

// TestServesWithPartFirst tests that with thousands of endpoints all balancers serve with a part long
// before the relays have read the whole store, and that all get a complete copy in the end.
func TestServesWithPartFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := newTestContext(t)
		defer stop()
		f := newFleet()
		f.readTime, f.partTime, f.copyTime = 800*time.Millisecond, 60*time.Millisecond, 140*time.Millisecond
		var all []*member
		a, b := zonePeers("a", 160), zonePeers("b", 160)
		f.relays = []bootstrap.Peer{a[17], b[3]}
		for _, p := range append(a, b...) {
			all = append(all, f.start(ctx, p, 0.16))
		}
		completeAfter := longestCopyTime(t, all)
		var servableAfter time.Duration
		for _, m := range all {
			servableAfter = max(servableAfter, m.servableAfter)
		}
		t.Logf("served after %v, complete after %v", servableAfter, completeAfter)
		assert.Assert(t, servableAfter < 250*time.Millisecond, "%v", servableAfter)
		assert.Assert(t, completeAfter < 3*time.Second, "%v", completeAfter)
		assert.Equal(t, f.reads, 2)
	})
}

// TestUnresponsiveRelaysDoNotDelayStart tests that a balancer asks another relay while the one in its
// zone does not answer, and that balancers read the store themselves if no relay answers.
func TestUnresponsiveRelaysDoNotDelayStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := newTestContext(t)
		defer stop()
		f := newFleet()
		f.relays = []bootstrap.Peer{{Addr: "silent", Zone: "a"}, {Addr: "gone", Zone: "b"}, {Addr: "c0", Zone: "c"}}
		f.dead["silent"] = true
		var all []*member
		for _, p := range append(zonePeers("a", 30), zonePeers("c", 1)...) {
			all = append(all, f.start(ctx, p, 0.16))
		}
		assert.Assert(t, longestCopyTime(t, all) < 500*time.Millisecond, "%v", longestCopyTime(t, all))
		assert.Equal(t, f.reads, 1)
	})
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := newTestContext(t)
		defer stop()
		f := newFleet()
		f.relays = []bootstrap.Peer{{Addr: "silent", Zone: "a"}, {Addr: "silent2", Zone: "b"}}
		f.dead["silent"], f.dead["silent2"] = true, true
		all := []*member{f.start(ctx, bootstrap.Peer{Addr: "x", Zone: "a"}, 0.8), f.start(ctx, bootstrap.Peer{Addr: "y", Zone: "b"}, 0.8)}
		assert.Assert(t, longestCopyTime(t, all) < 1600*time.Millisecond, "%v", longestCopyTime(t, all))
	})
}

// TestStartWithoutRelays tests that with neither relays nor seeds the balancers read the store
// themselves, at times spread over a second.
func TestStartWithoutRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := newTestContext(t)
		defer stop()
		f := newFleet()
		var all []*member
		for _, p := range zonePeers("a", 20) {
			all = append(all, f.start(ctx, p, 0.2))
		}
		assert.Assert(t, longestCopyTime(t, all) < 1100*time.Millisecond, "%v", longestCopyTime(t, all))
	})
}

// TestSourceOfCopyIsNamed tests that the store is named as the source of a copy although the read of it
// returns after the copy was applied.
func TestSourceOfCopyIsNamed(t *testing.T) {
	for _, lateBy := range []time.Duration{0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := newTestContext(t)
			defer stop()
			f := newFleet()
			f.lateBy = lateBy
			m := f.start(ctx, zonePeers("a", 1)[0], 0.2)
			assert.Equal(t, (<-m.result).Source, bootstrap.FromStore)
		})
	}
}

// TestStartWithSeedsOnly tests that with no relay registered most balancers get their copy from a seed,
// so that few others read the store.
func TestStartWithSeedsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := newTestContext(t)
		defer stop()
		f := newFleet()
		f.seeds = []string{"a0", "a1", "gone"}
		var all []*member
		for _, p := range zonePeers("a", 100) {
			all = append(all, f.start(ctx, p, 0.16))
		}
		assert.Assert(t, longestCopyTime(t, all) < 300*time.Millisecond, "%v", longestCopyTime(t, all))
		assert.Assert(t, f.reads < 30, "%d reads", f.reads) // the seeds, and balancers whose random delay ended before they had a copy
	})
}

// TestStartFromSeedWhileStoreIsDown tests that a balancer gets its copy from a running seed while calls
// to the store fail.
func TestStartFromSeedWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := newTestContext(t)
		defer stop()
		f := newFleet()
		f.seeds = []string{"gone", "a0"}
		first := f.start(ctx, bootstrap.Peer{Addr: "a0", Zone: "a"}, 0.2)
		<-first.known
		f.mu.Lock()
		f.down = true
		f.mu.Unlock()
		late := f.start(ctx, bootstrap.Peer{Addr: "b0", Zone: "b"}, 0.2)
		assert.Assert(t, longestCopyTime(t, []*member{late}) < 300*time.Millisecond, "%v", late.completeAfter)
	})
}

// TestFleetStartsOnceStoreRecovers tests that balancers that start while the store is down keep trying,
// and that all have a copy soon after the store has recovered.
func TestFleetStartsOnceStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := newTestContext(t)
		defer stop()
		f := newFleet()
		f.down = true
		var all []*member
		list := zonePeers("a", 20)
		for _, p := range list {
			all = append(all, f.start(ctx, p, 0.2))
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		f.mu.Lock()
		assert.Equal(t, f.reads, 0)
		f.down, f.relays = false, list[:1]
		f.mu.Unlock()
		assert.Assert(t, longestCopyTime(t, all) < 11200*time.Millisecond, "%v", longestCopyTime(t, all)) // the store is down for the first 10 s
	})
}

// TestCopyRoundTrip tests that Pack and Unpack preserve the records, and that Unpack fails on a truncated
// copy.
func TestCopyRoundTrip(t *testing.T) {
	records := []directory.Record{
		{Key: "a", Value: []byte(`{"x":1}`), Revision: 3, Lease: 9}, {Key: "b", Value: []byte{0, 255}, Revision: 1 << 60},
	}
	c, err := bootstrap.Pack(records, 11)
	assert.NilError(t, err)
	assert.Equal(t, c.At, uint64(11))
	got, err := c.Unpack()
	assert.NilError(t, err)
	assert.DeepEqual(t, got, records)
	_, err = bootstrap.Copy{Packed: c.Packed[:len(c.Packed)/2]}.Unpack()
	assert.ErrorContains(t, err, "bootstrap: unpack")
}
