// Package relay distributes the store's changes through a few balancers, so that not every balancer
// has to watch the store. Each availability zone has one such balancer, its relay, whose address is
// registered in the store under a lease. The other balancers fetch changes from a relay and watch
// the store themselves only while no reachable relay is settled. A balancer is settled, or in touch
// with the store, while its own watch keeps it up to date with the store.
//
// Each balancer runs one Group. It owns the replica, which is this process's copy of the
// store's records, and the connections to other balancers. It runs two loops: follow.go fetches
// changes, and registration.go elects and registers the zone's relay. Their rules are in rules.go,
// and server.go serves other balancers, whose calls for changes wait until there is one. Balancers broadcast small messages beside the store's
// records, called notes (notes.go, delivery.go), and exchange counts for the whole fleet
// (counting.go). A relay also names balancers that may carry connections to endpoints for one that has
// lost its paths (carriers.go). Package bootstrap obtains the first copy of the store's content (bootstrap.go). A
// Group relies on a Follower, which watches the store and which it switches on and off, on a
// Registry for the lease, and on a Decoder that interprets records.
//
// The registration need not be exclusive: two relays in one zone cost a few calls more, and without
// any relay each balancer watches the store itself. Relays pass on the store's own records with
// their revisions, so a change that arrives late, twice or out of order does no harm.
//
// # Usage
//
//	g := relay.New(relay.Config{ID: id, Zone: zone, Addr: addr, Registry: store, Decoder: store, Log: log})
//	follower := directory.NewFollower(d, store, directory.Options{Standby: true, OnApplied: g.ApplyChanges, Bootstrap: g.Bootstrap, OnAnswer: g.OnAnswer, OnFailure: g.OnFailure})
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
	"github.com/lotuswing/lotuswing/coord/warmup"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/suspend"
	"github.com/lotuswing/lotuswing/internal/untrusted"
	"github.com/lotuswing/lotuswing/link"
)

var (
	// ErrAlreadyRegistered is returned by Registry.Register for a registration that already exists.
	ErrAlreadyRegistered = errors.New("relay: already registered")
	// ErrLeaseExpired is returned by Registry.Renew for a lease that has expired.
	ErrLeaseExpired = errors.New("relay: lease has expired")
)

// Registry stores registrations under leases.
type Registry interface {
	// Replace writes a registration under a new lease with the given TTL, which it returns, in place of the one
	// whose record has the position at; 0 if there must be none. It returns ErrAlreadyRegistered if the
	// registration has another position.
	Replace(ctx context.Context, name string, value []byte, at uint64, ttl time.Duration) (lease uint64, err error)
	// Renew extends a lease. It returns ErrLeaseExpired if the lease has expired.
	Renew(ctx context.Context, lease uint64) error
	// Release ends a lease and deletes its registrations.
	Release(ctx context.Context, lease uint64) error
}

// Follower watches the store and applies its changes; directory.Follower implements it.
type Follower interface {
	// Apply applies changes, whatever their source.
	Apply(directory.Changes)
	// SetActive starts or stops watching the store. A watch that is open when watching stops runs
	// to its end.
	SetActive(active bool)
	// SetServing says whether other balancers rely on this follower, which then pauses for shorter
	// times.
	SetServing(serving bool)
	// EndRetryPause ends the pause after a failed call, because the store has just answered another call.
	EndRetryPause()
	// ReadAgain has everything read again at once, if the store is watched.
	ReadAgain()
	// Read reads the full store and applies the result, which may be some seconds old.
	Read(ctx context.Context) error
	// ReadRegistrations reads only the registrations and applies them.
	ReadRegistrations(ctx context.Context) error
	// Active reports whether the follower watches the store.
	Active() bool
	// Confirmed returns the latest time at which all that the store had accepted was known here, and
	// Confirm records such a time that another balancer has stated; zero for never.
	Confirmed() time.Time
	Confirm(at time.Time)
	// LastAnswer returns when the store last answered; zero for never.
	LastAnswer() time.Time
	// UpToDate reports whether the follower watches the store and got an answer lately, so that its
	// content may be passed on as the store's current state.
	UpToDate(now time.Time) bool
	// WatchDuration returns how long the current watch has been open; 0 if there is none.
	WatchDuration(now time.Time) time.Duration
}

// Decoder interprets records of the store.
type Decoder interface {
	// Decode interprets records. at is the revision up to which they are complete, and whole means
	// that they are the full content.
	Decode(records []directory.Record, at uint64, whole bool) directory.Changes
	// IsEndpointKey reports whether key belongs to an endpoint's entry.
	IsEndpointKey(key string) bool
}

// Config configures a Group.
type Config struct {
	ID       string
	Zone     string
	Addr     string   // address at which other balancers reach this one
	Seeds    []string // addresses of some other balancers, which are asked for a first copy
	Cores    float64  // processor share in cores; balancers with a larger share register as relays first
	LinkRate float64  // bandwidth of the VM's network link in bytes per second; 0 if unknown
	Registry Registry
	Decoder  Decoder
	Log      hclog.Logger
	TLS      *tls.Config // for connections between balancers; nil for plain TCP
	Options  Options
	// OnReport handles the counts that another balancer reports; nil if nothing is counted.
	OnReport func(tally.Report) quota.ReportAnswer
	// OnAsk answers another balancer that asks for capacity at endpoints; nil if no balancer asks.
	OnAsk func(from string, asks []limit.Ask) limit.Reply
	// OnWarmupAsk answers an ask for permits for endpoints in warm-up; nil if no balancer asks.
	OnWarmupAsk func(warmup.Ask) warmup.Reply
	// ByUrgency reports whether requests are ordered by urgency under the configuration in force; nil for
	// never.
	ByUrgency func() bool
	// OnNote is called once for each note of another balancer; nil to ignore notes.
	OnNote func(Note)
	// PathsLost reports whether this balancer has lost its paths to all endpoints; nil for never.
	PathsLost func() bool
	// Streams serves the streams that other balancers open; nil for none.
	Streams link.StreamHandler
	// Suspensions detects suspensions of the VM; nil for none.
	Suspensions *suspend.Detector
}

// Group distributes the store's changes on behalf of one balancer. Create it with New.
type Group struct {
	cfg         Config
	opts        Options
	follower    Follower
	replica     *replica
	packer      *packer
	copyServer  *bootstrap.Server // serves first copies to balancers that start
	notes       *noteLog          // notes of this and of other balancers
	client      *link.Client
	server      *link.Server
	stop        context.CancelFunc
	done        sync.WaitGroup
	createdAt   time.Time // with a monotonic clock reading
	relayOffset int       // random offset that selects among the relays of other zones

	leaving       atomic.Bool  // a planned shutdown has begun
	starting      atomic.Bool  // the balancer has started and waits for its first settled relay
	relaySettled  atomic.Bool  // the relay that was asked last is settled
	settleWaiters atomic.Int64 // calls that wait here for this balancer to become settled
	wakeScheduled atomic.Bool  // waiting calls are about to be woken because of new notes
	pollingNotes  atomic.Bool  // a penalized relay is being asked for notes
	// notesPublished counts the notes published by this balancer.
	notesPublished atomic.Uint64
	// registeredAfter is when this balancer last registered, in ns since createdAt; 0 for never. It
	// bridges the time until the store reports the registration.
	registeredAfter atomic.Int64
	releasedLease   atomic.Uint64 // the lease that Leave ended; 0 for none
	reports         untrusted.Reports

	mu              sync.Mutex
	penalized       map[string]time.Time   // until when a relay that failed is not asked, by address
	bootstrapResult bootstrap.Result       // how the first copy was obtained
	currentRelay    Relay                  // the relay that is followed; zero for none
	confirmedAt     time.Time              // when a settled relay last answered
	askers          askers                 // balancers that ask this one for changes
	lastResponder   string                 // address of the balancer that last answered a call for changes
	runCtx          context.Context        // canceled by Close; nil before Start and after Close
	delivering      map[string]bool        // relays to which a goroutine is delivering notes, by address
	delivered       map[string]logPosition // by address of a peer: its life, and the index in this balancer's own log up to which it has accepted notes
	tenure          tenure                 // of this balancer as the relay of its zone
	received        map[string]logPosition // position in a peer's log up to which its notes have been received, by address
}

// maxRelayOffset bounds Group.relayOffset, which spreads the balancers of a zone without a relay
// over the relays of other zones.
const maxRelayOffset = 1 << 10

// New returns a Group that is idle until Start is called.
func New(cfg Config) *Group {
	g := &Group{
		cfg: cfg, opts: cfg.Options.withDefaults(), replica: newReplica().withDecoder(cfg.Decoder), packer: newPacker(), notes: newNoteLog(),
		createdAt: time.Now(), client: link.NewClient(cfg.TLS), relayOffset: rand.IntN(maxRelayOffset), penalized: map[string]time.Time{},
		delivering: map[string]bool{}, delivered: map[string]logPosition{}, received: map[string]logPosition{},
	}
	g.copyServer = bootstrap.NewServer(bootstrapState{g}, cfg.LinkRate)
	return g
}

// ApplyChanges records changes that the follower has applied. Pass it to the follower as its OnApplied
// option.
func (g *Group) ApplyChanges(c directory.Changes) {
	now := time.Now()
	for _, err := range g.reports.New(g.replica.apply(c, now), now) {
		g.cfg.Log.Error("could not parse relay registration", "error", err)
	}
	if len(c.Registrations) > 0 {
		g.deliverToRelays() // c may contain a new relay
	}
}

// Start serves other balancers on a listener and runs the loops that follow relays and maintain the
// registration, until Close is called. The follower must be the one that calls ApplyChanges.
func (g *Group) Start(l net.Listener, follower Follower) error {
	g.follower = follower
	server, err := link.ServeStreams(l, g.cfg.TLS, &rpcService{group: g}, g.cfg.Streams)
	if err != nil {
		return err
	}
	g.server = server
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	g.mu.Lock()
	g.runCtx = ctx
	g.mu.Unlock()
	g.done.Go(func() { g.followRelays(ctx) })
	g.done.Go(func() { g.maintainRegistration(ctx) })
	return nil
}

// Leave releases the registration within Options.Wait, so that another balancer takes over before this
// one stops. One that could not be released, or was being made, is released later.
func (g *Group) Leave(ctx context.Context) {
	g.leaving.Store(true)
	if own, ok := g.replica.relay(g.cfg.Zone); ok && own.Addr == g.cfg.Addr {
		g.release(ctx, own)
	}
}

// release ends this balancer's registration.
func (g *Group) release(ctx context.Context, own Relay) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Wait)
	defer cancel()
	g.endTenure()
	if err := g.cfg.Registry.Release(ctx, own.lease); err != nil {
		g.cfg.Log.Warn("could not release relay registration", "error", err)
		return
	}
	g.registeredAfter.Store(0)
	g.releasedLease.Store(own.lease)
}

// AnswerCalls accepts no further calls of other balancers and answers those under way, until ctx ends. It
// comes before Close.
func (g *Group) AnswerCalls(ctx context.Context) {
	if err := g.server.Shutdown(ctx); err != nil {
		g.cfg.Log.Debug("calls of other balancers cut", "error", err)
	}
}

// Close stops the loops, the server and all connections, and waits until they have ended.
func (g *Group) Close() {
	g.stop()
	g.mu.Lock()
	g.runCtx = nil
	g.mu.Unlock()
	_ = g.server.Close() // the listener is closed even if Close returns an error
	g.client.Close()
	g.done.Wait()
}
