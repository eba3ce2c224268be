// Package relay lets a few balancers follow the store for all: each availability
// zone has one, its relay, whose address stands in the store under a lease. The
// others ask it for changes, and follow the store themselves only while no relay in
// reach is settled, that is, up to date itself.
//
// A Group is one balancer's part in this. It owns the replica, which is the store's
// records as this process knows them, and the links to other balancers. Its two
// loops are in follow.go (where changes come from) and registration.go (who is the
// relay); the rules that they follow are in rules.go, what other balancers are told
// in server.go, what balancers tell one another beside the store's records in notes.go and
// telling.go, and what they count for the whole fleet in counting.go. What is known first comes by package bootstrap (first.go). It relies on a Follower, which it switches on and off, a Registry
// for the lease, and a Decoder for the meaning of records.
//
// Being a relay is no right that has to be exclusive. Two at once cost a few calls;
// none costs each balancer a watch of its own. What is handed on are the store's
// own records with their revisions, so a change that comes late, twice or out of
// order does no harm.
//
// # Usage
//
//	g := relay.New(relay.Config{ID: id, Zone: zone, Addr: addr, Registry: store, Decoder: store, Log: log})
//	follower := directory.NewFollower(d, store, directory.Options{Standby: true, Observe: g.Observe, Begin: g.Begin, OnAnswer: g.OnAnswer, OnFailure: g.OnFailure})
//	err := g.Start(listener, follower)
//	defer g.Close()
package relay

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/bootstrap"
	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/coord/quota"
	"github.com/lotuswing/lotuswing/coord/tally"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/suspend"
	"github.com/lotuswing/lotuswing/link"
)

var (
	// ErrTaken says that a registration exists already.
	ErrTaken = errors.New("relay: registration is taken")
	// ErrLapsed says that a lease is over.
	ErrLapsed = errors.New("relay: lease is over")
)

// Registry keeps registrations under leases.
type Registry interface {
	// Register writes a registration that does not exist, or returns ErrTaken.
	Register(ctx context.Context, name string, value []byte, ttl time.Duration) error
	// Renew extends a lease, or returns ErrLapsed.
	Renew(ctx context.Context, lease uint64) error
	// Release ends a lease and its registrations.
	Release(ctx context.Context, lease uint64) error
}

// Follower is what follows the store.
type Follower interface {
	Apply(directory.Changes)
	SetActive(active bool)
	SetServing(serving bool)
	Retry()
	Read(ctx context.Context) error
	ReadRegistrations(ctx context.Context) error
	Active() bool
	Answered() time.Time
	Settled(now time.Time) bool
	Watching(now time.Time) time.Duration
}

// Decoder reads records of the store.
type Decoder interface {
	Decode(records []directory.Record, at uint64, whole bool) directory.Changes
	// NamesEndpoint reports whether a key is that of an endpoint's entry.
	NamesEndpoint(key string) bool
}

// Config of a Group.
type Config struct {
	ID       string
	Zone     string
	Addr     string   // at which other balancers reach this one
	Seeds    []string // addresses of some others, for the start
	Cores    float64  // processor share; balancers with more of it become relays first
	LinkRate float64  // of the VM's link, in bytes a second; 0 where it is not known
	Registry Registry
	Decoder  Decoder
	Log      hclog.Logger
	TLS      *tls.Config // of links; nil for plain TCP
	Options  Options
	// OnReport takes what another balancer has counted; nil where nothing is counted.
	OnReport func(tally.Report) quota.Answer
	// OnAsk answers another balancer that asks for room at endpoints; nil where nobody does.
	OnAsk func(from string, asks []limit.Ask) limit.Reply
	// OnNote is called with each note of another balancer, once; nil for none.
	OnNote func(Note)
	// Suspensions tells of suspensions of the VM; nil for none.
	Suspensions *suspend.Detector
}

// Group is a balancer's part among those that hand on the store's changes.
type Group struct {
	cfg      Config
	opts     Options
	follower Follower
	replica  *replica
	packer   *packer
	giver    *bootstrap.Giver // hands first copies to balancers that start
	notes    *noteLog         // what balancers tell one another beside the store's records
	client   *link.Client
	server   *link.Server
	stop     context.CancelFunc
	done     sync.WaitGroup
	began    time.Time // of the steady clock
	turn     int       // which of other zones' relays is asked

	leaving  atomic.Bool  // a planned stop has begun
	starting atomic.Bool  // waits for a first relay that is settled
	followed atomic.Bool  // the last relay that was asked is settled
	patient  atomic.Int64 // questions that wait for this balancer to be settled
	waking   atomic.Bool  // those that wait here are about to be woken for notes
	// published counts the notes of this balancer.
	published atomic.Uint64
	// registered is when this balancer registered, until the store tells so; in
	// ns since began, 0 for never.
	registered atomic.Int64

	mu        sync.Mutex
	penalized map[string]time.Time // relays that failed, by address, until when they are left alone
	first     bootstrap.Result     // how the first copy came
	relayed   Relay                // the relay that is followed; zero for none
	confirmed time.Time            // when a settled relay last answered
	askers    askers               // who asks this balancer
	asked     string               // address of the balancer that last answered a question for changes
	live      context.Context      // ends with Close; nil before Start and after Close
	telling   map[string]bool      // relays that are being told notes, by address
	told      map[string]place     // which notes relays have taken, by address: their life and the place in the own log
	heard     map[string]place     // which notes of others are known, by address of the balancer that handed them on
}

// maxTurns spreads the balancers of a zone without a relay over those of others.
const maxTurns = 1 << 10

// New returns a group that does nothing before Start.
func New(cfg Config) *Group {
	g := &Group{
		cfg: cfg, opts: cfg.Options.withDefaults(), replica: newReplica().countingEndpoints(cfg.Decoder), packer: newPacker(), notes: newNoteLog(),
		began: time.Now(), client: link.NewClient(cfg.TLS), turn: rand.IntN(maxTurns), penalized: map[string]time.Time{},
		telling: map[string]bool{}, told: map[string]place{}, heard: map[string]place{},
	}
	g.giver = bootstrap.NewGiver(firstState{g}, cfg.LinkRate)
	return g
}

// Observe notes changes that are in force; give it to the follower.
func (g *Group) Observe(c directory.Changes) {
	for _, err := range g.replica.apply(c, time.Now()) {
		g.cfg.Log.Error("registration not read", "error", err)
	}
	if len(c.Registrations) > 0 {
		g.tellRelays() // one may be new
	}
}

// Start answers other balancers on a listener, and follows or registers until
// Close. The follower given here is the one that calls Observe.
func (g *Group) Start(l net.Listener, follower Follower) error {
	g.follower = follower
	server, err := link.Serve(l, g.cfg.TLS, &receiver{group: g})
	if err != nil {
		return err
	}
	g.server = server
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	g.mu.Lock()
	g.live = ctx
	g.mu.Unlock()
	g.done.Go(func() { g.follow(ctx) })
	g.done.Go(func() { g.maintainRegistration(ctx) })
	return nil
}

// Leave gives the registration up, so that another balancer takes over before
// this one stops.
func (g *Group) Leave(ctx context.Context) {
	g.leaving.Store(true)
	own, ok := g.replica.relay(g.cfg.Zone)
	if !ok || own.Addr != g.cfg.Addr {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, g.opts.Wait)
	defer cancel()
	if err := g.cfg.Registry.Release(ctx, own.lease); err != nil {
		g.cfg.Log.Warn("registration not given up", "error", err)
	}
}

// Close ends everything.
func (g *Group) Close() {
	g.stop()
	g.mu.Lock()
	g.live = nil
	g.mu.Unlock()
	_ = g.server.Close() // its listener is closed whatever it says
	g.client.Close()
	g.done.Wait()
}
