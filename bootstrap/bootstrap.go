// Package bootstrap brings a balancer that has just started its first copy of what
// the store holds, so that a fleet that starts at once is back in service at once.
//
// A store has one link for all. If each balancer read everything from it, a fleet would
// wait for that link. So the few registered relays read the store, and the others ask a
// relay for its copy, packed. A balancer hands a copy to a few others and sends whoever asks after
// them on to these, so that the copies spread as a tree whose depth is the logarithm of
// the fleet's size (Recipients). Nobody waits for a single machine: whoever hears nothing
// asks the next one meanwhile (Order), and reads the store itself in the end (ReadAfter).
// Where the store tells of no relay, or nothing at all, the seeds of the settings are
// asked, so that a balancer that starts while the store is down serves with what the
// others know.
//
// Where there are thousands of endpoints, a balancer serves before it knows all of them: it
// first asks for a part, which holds everything else and some of the endpoints, then for a
// copy of everything. Both spread in the same way.
//
// What is handed on are the store's own records with their revisions. A copy that is
// old, comes twice or comes late is no worse than a read of the store that may be
// stale: no record replaces a newer one, and the following that begins afterwards
// tells what the copy lacks.
//
// The package owns the search for the first copy (Starter) and the account of whom
// this balancer gave one (Giver). It relies on a State, which holds what is known, on a
// Store and on Peers for their calls. The rules are in rules.go and have no clock.
//
// # Usage
//
//	giver := bootstrap.NewGiver(state, rate) // answers Copy calls of others
//	starter := bootstrap.New(bootstrap.Config{State: state, Store: store, Peers: peers, Giver: giver, Log: log})
//	result := starter.Run(ctx) // until a first copy is in force
package bootstrap

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
)

// Peer is another balancer.
type Peer struct {
	Addr string // at which it answers other balancers
	Zone string // empty where that is not known
}

// State is what this balancer knows of the store.
type State interface {
	// Known is closed as soon as a first copy is in force.
	Known() <-chan struct{}
	// Records returns everything, with the revision up to which all is known.
	Records() ([]directory.Record, uint64)
	// Apply brings everything that another balancer knew into force.
	Apply(records []directory.Record, at uint64)
	// Partly is closed as soon as a part is known that is enough to serve, or everything.
	Partly() <-chan struct{}
	// Part returns such a part, and Whole reports whether it would be everything, or nearly.
	Part() []directory.Record
	Whole() bool
	// ApplyPart brings a part of what another balancer knew into force.
	ApplyPart(records []directory.Record)
	// Relays returns the registered relays, this balancer among them if it is one.
	Relays() []Peer
}

// Store is the store that all balancers read. What it tells it brings into force.
type Store interface {
	// Read reads everything.
	Read(ctx context.Context) error
	// ReadRegistrations reads the registrations of relays alone.
	ReadRegistrations(ctx context.Context) error
}

// Peers asks other balancers.
type Peers interface {
	Copy(ctx context.Context, addr string, args CopyArgs) (CopyReply, error)
}

// Config of a Starter.
type Config struct {
	Self  Peer
	Seeds []string // addresses of balancers to ask where no relay is known, this one's perhaps among them
	Cores float64  // processor share; balancers with more of it read the store first
	State State
	Store Store
	Peers Peers
	Giver *Giver // is told of the copy, and hands it on as it is
	Log   hclog.Logger

	Options Options
}

// Options of a Starter. Zero fields take the defaults.
type Options struct {
	// LookEvery is the time between two readings of the registrations while no copy has come;
	// default 400 ms, by when a fleet that starts has its copies.
	LookEvery time.Duration
	// AskNextAfter is how long an answer is awaited before the next balancer is asked beside it;
	// default 60 ms, three times what a copy takes from a relay that has one.
	AskNextAfter time.Duration
	// WaitAtPeer is how long a balancer that has no copy yet itself may keep the
	// question; default 300 ms. AskLimit bounds a whole question; default 800 ms.
	WaitAtPeer time.Duration
	AskLimit   time.Duration
	// AskAgainAfter is when a balancer that gave no copy may be asked again; default
	// 500 ms.
	AskAgainAfter time.Duration
	// ReadSpread is the time over which balancers that find no relay begin to read the
	// store; default 1 s. See ReadAfter.
	ReadSpread time.Duration
	// ReadAfterPart is how long a balancer that serves with a part waits for a copy of everything
	// before it reads the store; default 2 s.
	ReadAfterPart time.Duration
	// RetryPause is the mean pause after a failed call of the store; default 500 ms.
	RetryPause time.Duration
}

func (o Options) withDefaults() Options {
	o.LookEvery = cmp.Or(o.LookEvery, 400*time.Millisecond)
	o.AskNextAfter = cmp.Or(o.AskNextAfter, 60*time.Millisecond)
	o.WaitAtPeer = cmp.Or(o.WaitAtPeer, 300*time.Millisecond)
	o.AskLimit = cmp.Or(o.AskLimit, 800*time.Millisecond)
	o.AskAgainAfter = cmp.Or(o.AskAgainAfter, 500*time.Millisecond)
	o.ReadSpread = cmp.Or(o.ReadSpread, time.Second)
	o.ReadAfterPart = cmp.Or(o.ReadAfterPart, 2*time.Second)
	o.RetryPause = cmp.Or(o.RetryPause, 500*time.Millisecond)
	return o
}

// Starter brings the first copy into force.
type Starter struct {
	cfg  Config
	opts Options
}

// New returns a starter.
func New(cfg Config) *Starter {
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	return &Starter{cfg: cfg, opts: cfg.Options.withDefaults()}
}

// Result tells how the first copy came.
type Result struct {
	From  string        // the address of a balancer, or FromStore; empty where none has come
	After time.Duration // since the start
	Asked int           // questions to other balancers
}

// FromStore stands for the store where others stand with their addresses.
const FromStore = "store"

// Run returns when a first copy is in force, or when ctx has ended.
func (s *Starter) Run(ctx context.Context) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	p := s.newProgress(began)
	for ctx.Err() == nil && !pause.Over(s.cfg.State.Known()) {
		p.begin(ctx, time.Now())
		p.await(ctx, time.Now())
	}
	r := Result{From: p.source, After: time.Since(began), Asked: p.asked}
	if ctx.Err() == nil {
		s.cfg.Log.Info("first copy in force", "from", r.From, "after", r.After.Round(time.Millisecond), "asked", r.Asked)
	}
	return r
}

// newProgress begins the search for a copy at a time.
func (s *Starter) newProgress(now time.Time) *progress {
	return &progress{
		Starter: s,
		order:   NewOrder(s.cfg.Self, s.cfg.Seeds, rand.Uint64(), s.opts.AskAgainAfter),
		random:  rand.Float64(),
		lookAt:  now,
		askAt:   now.Add(s.opts.AskNextAfter), // seeds, where the relays are not known by then
		events:  make(chan event),
	}
}
