// Package relay lets a few balancers follow the store for all: each zone has
// one, its relay, whose address stands in the store under a lease. The others
// ask it for changes, and follow the store themselves only while no relay in
// reach is settled.
//
// Being a relay is no right that has to be exclusive. Two at once cost a few
// calls; none costs each balancer a watch of its own. What is handed on are the
// store's own records with their revisions, so a change that comes late, twice
// or out of order does no harm.
//
// # Usage
//
//	g := relay.New(relay.Config{ID: id, Zone: zone, Addr: addr, Registry: store, Decoder: store, Log: log})
//	follower := directory.NewFollower(d, store, directory.Options{Standby: true, Observe: g.Observe})
//	err := g.Start(listener, follower)
//	defer g.Close()
package relay

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/directory"
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
	Refresh(ctx context.Context)
	Settled(now time.Time) bool
	Watching(now time.Time) time.Duration
}

// Decoder reads records of the store.
type Decoder interface {
	Decode(records []directory.Record, at uint64, whole bool) directory.Changes
}

// Config of a Group.
type Config struct {
	ID       string
	Zone     string
	Addr     string  // at which other balancers reach this one
	Cores    float64 // processor share; balancers with more of it become relays first
	Registry Registry
	Decoder  Decoder
	Log      hclog.Logger
	TLS      *tls.Config // of links; nil for plain TCP
	Options  Options
}

// Options of a Group. Zero fields take the defaults.
type Options struct {
	TTL     time.Duration // of a registration; default 3 s
	Wait    time.Duration // after which a relay answers though nothing changed; default 400 ms
	Slack   time.Duration // after which an answer counts as missing; default 250 ms
	Penalty time.Duration // for which a relay that failed is left alone; default 3 s
	// A vacancy is left to others for BackoffBase and a random part of
	// BackoffJitter, and for longer by VMs with a small processor share.
	BackoffBase   time.Duration // default 300 ms
	BackoffJitter time.Duration // default 1 s
	// StartWithin is how long a balancer that starts waits for a relay before it
	// follows the store, reading it cheaply each StartPoll.
	StartWithin time.Duration // default 2 s
	StartPoll   time.Duration // default 400 ms
}

// OptionsWithin returns options that let a balancer change over to another relay,
// or to the store, well within a bound on how late a change may come into force.
func OptionsWithin(bound time.Duration) Options {
	return Options{
		Wait:  min(time.Duration(waitShare*float64(bound)), mostWait),
		Slack: min(time.Duration(slackShare*float64(bound)), mostSlack),
	}
}

// Parts of the bound, and their limits.
const (
	waitShare  = 0.2
	slackShare = 0.125
	mostWait   = time.Second
	mostSlack  = 500 * time.Millisecond
)

func (o Options) withDefaults() Options {
	o.TTL = cmp.Or(o.TTL, 3*time.Second)
	o.Wait = cmp.Or(o.Wait, 400*time.Millisecond)
	o.Slack = cmp.Or(o.Slack, 250*time.Millisecond)
	o.Penalty = cmp.Or(o.Penalty, 3*time.Second)
	o.BackoffBase = cmp.Or(o.BackoffBase, 300*time.Millisecond)
	o.BackoffJitter = cmp.Or(o.BackoffJitter, time.Second)
	o.StartWithin = cmp.Or(o.StartWithin, 2*time.Second)
	o.StartPoll = cmp.Or(o.StartPoll, 400*time.Millisecond)
	return o
}

// namePrefix begins the names of registrations; the zone follows.
const namePrefix = "relays/"

// Relay is a registered balancer.
type Relay struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Zone string `json:"-"` // from the name of the registration

	lease    uint64
	revision uint64
}

// parseRelay reads a registration.
func parseRelay(r directory.Record) (Relay, error) {
	relay := Relay{Zone: strings.TrimPrefix(r.Key, namePrefix), lease: r.Lease, revision: r.Revision}
	if err := json.Unmarshal(r.Value, &relay); err != nil {
		return Relay{}, fmt.Errorf("relay: registration %s: %w", r.Key, err)
	}
	return relay, nil
}

// Group is a balancer's part among those that hand on the store's changes.
type Group struct {
	cfg      Config
	opts     Options
	follower Follower
	replica  *replica
	packer   *packer
	client   *link.Client
	server   *link.Server
	stop     context.CancelFunc
	done     sync.WaitGroup
	leaving  atomic.Bool
	starting atomic.Bool // waits for a first relay that is settled
	// registered is when this balancer registered, until the store tells so; in
	// ns since began, 0 for never.
	registered atomic.Int64
	began      time.Time
	followed   atomic.Bool // a relay that is settled was heard last
	turn       int         // which of other zones' relays is asked

	mu        sync.Mutex
	penalized map[string]time.Time // by address, until when
}

// New returns a group that does nothing before Start.
func New(cfg Config) *Group {
	return &Group{
		cfg: cfg, opts: cfg.Options.withDefaults(), replica: newReplica(), packer: newPacker(),
		began: time.Now(), client: link.NewClient(cfg.TLS), turn: rand.IntN(maxTurns), penalized: map[string]time.Time{},
	}
}

// Observe takes in changes that are in force; give it to the follower.
func (g *Group) Observe(c directory.Changes) {
	for _, err := range g.replica.take(c, time.Now()) {
		g.cfg.Log.Error("registration not read", "error", err)
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
	g.done.Go(func() { g.follow(ctx) })
	g.done.Go(func() { g.maintainRegistration(ctx) })
	return nil
}

// maxTurns spreads the balancers of a zone without a relay over those of others.
const maxTurns = 1 << 10

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
	_ = g.server.Close()
	g.client.Close()
	g.done.Wait()
}

// jitter returns a random part of d.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}
