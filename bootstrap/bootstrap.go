// Package bootstrap obtains the first copy of the store's content for a balancer that has just
// started, so that a fleet whose balancers all start at the same time is quickly back in service.
//
// All balancers share the store's network link. If each of them read everything from the store, the
// whole fleet would wait for that link. So only the few registered relays read the store, and the
// other balancers request a compressed copy from a relay. A balancer sends its copy to a limited
// number of others and redirects later requests to these recipients, so that the copies spread along
// a tree whose depth is logarithmic in the fleet's size (Recipients). No balancer depends on a single
// machine: if a peer does not answer in time, the next one is asked as well (Candidates), and in the
// end the balancer reads the store itself (ReadAfter, ReadAfterRelaysFailed). If the store lists no relay or does not
// answer, the seeds from the settings are asked, so that a balancer that starts while the store is
// down can serve with what its peers know.
//
// With thousands of endpoints, a balancer serves before it knows all of them: it first requests a
// part, which holds some of the endpoints and everything else, and then a complete copy. Both spread
// in the same way.
//
// A copy consists of the store's own records with their revisions. A copy that is old, late or a
// duplicate does no more harm than a stale read of the store: no record replaces a newer one, and the
// balancer then follows the store's changes and so learns what the copy lacks.
//
// Fetcher searches for the first copy, and Server sends this balancer's copy to others and remembers
// the recipients. They use a State, which holds what is known, and call a Store and Peers. The
// functions in rules.go decide whom to ask, when to read the store and which requests to redirect;
// they depend on their arguments alone and read no clock.
//
// # Usage
//
//	server := bootstrap.NewServer(state, rate) // answers Copy calls from other balancers
//	fetcher := bootstrap.New(bootstrap.Config{State: state, Store: store, Peers: peers, Server: server, Log: log})
//	result := fetcher.Run(ctx) // returns once a first copy has been applied
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
	Addr string // address at which it answers other balancers
	Zone string // empty if unknown
	// ByUrgency says that the peer is a relay which has registered that requests are ordered by urgency.
	// A balancer that starts then does not wait for relays that fail.
	ByUrgency bool
}

// State is what this balancer knows of the content of the store.
type State interface {
	// Complete returns a channel that is closed once a complete copy, from another balancer or the
	// store, has been applied.
	Complete() <-chan struct{}
	// Records returns all records and the revision up to which all changes are known.
	Records() ([]directory.Record, uint64)
	// Apply applies a complete copy from another balancer; at is its revision.
	Apply(records []directory.Record, at uint64)
	// Servable returns a channel that is closed once enough is known to serve requests: a part
	// or a complete copy.
	Servable() <-chan struct{}
	// Part returns the records that a balancer needs to begin to serve, and PartIsComplete reports
	// whether they would be all records, or nearly all.
	Part() []directory.Record
	PartIsComplete() bool
	// ApplyPart applies a part from another balancer.
	ApplyPart(records []directory.Record)
	// Relays returns the registered relays, this balancer among them if it is one.
	Relays() []Peer
}

// Store is the store that all balancers read. Its methods also apply what they read to the State.
type Store interface {
	// Read reads all records.
	Read(ctx context.Context) error
	// ReadRegistrations reads only the registrations of relays.
	ReadRegistrations(ctx context.Context) error
}

// Peers calls other balancers.
type Peers interface {
	// Copy requests a copy from the balancer at addr. It fails if no connection to it can be opened
	// within connect; 0 for the default.
	Copy(ctx context.Context, addr string, connect time.Duration, args CopyArgs) (CopyReply, error)
}

// Config is the configuration of a Fetcher.
type Config struct {
	Self   Peer     // this balancer
	Seeds  []string // addresses of balancers to ask if no relay is known; may include this balancer's own
	Cores  float64  // share of the processor, in cores; balancers with a larger share read the store earlier
	State  State
	Store  Store
	Peers  Peers
	Server *Server // receives each copy before it is decoded, and sends it to others in its packed form
	Log    hclog.Logger

	Options Options
}

// Options are the timing options of a Fetcher. Zero fields take the defaults.
type Options struct {
	// LookEvery is the interval between reads of the relay registrations while no copy has
	// arrived; default 400 ms. In a fleet whose balancers start together all have a copy by then.
	LookEvery time.Duration
	// AskNextAfter is how long to wait for an answer before the next balancer is asked as well;
	// default 60 ms, three times what a copy takes from a relay that has one.
	AskNextAfter time.Duration
	// WaitAtPeer is how long a peer that has no copy yet may hold the request until it has one;
	// default 300 ms. AskTimeout is the timeout of the whole request; default 800 ms.
	WaitAtPeer time.Duration
	AskTimeout time.Duration
	// AskAgainAfter is the time after a request to a balancer until it may be asked again;
	// default 500 ms.
	AskAgainAfter time.Duration
	// AskAgainAfterFailure replaces AskAgainAfter for a balancer that has failed or had no copy
	// yet, and ConnectTimeout bounds the time to connect, if the relays have registered that requests are ordered by urgency;
	// default 100 ms and 200 ms. A relay that fails may be about to start. After RelaySilentAfter without
	// an answer a relay counts as failed; default 200 ms, several times what a relay takes to read the
	// store.
	AskAgainAfterFailure time.Duration
	ConnectTimeout       time.Duration
	RelaySilentAfter     time.Duration
	// ReadSpread is the period over which balancers that find no relay spread their first reads
	// of the store; default 1 s. It also scales the longer delays while relays are
	// known; see ReadAfter.
	ReadSpread time.Duration
	// ReadAfterPart is how long a balancer that has applied a part waits for a complete copy
	// before it reads the store, in addition to a random part of ReadSpread; default 2 s. Once a
	// part has been applied, it is also the timeout of each request and the interval between reads
	// of the relay registrations, and half of it replaces AskNextAfter and WaitAtPeer.
	ReadAfterPart time.Duration
	// RetryPause is the mean pause after a failed call to the store; default 500 ms.
	RetryPause time.Duration
}

func (o Options) withDefaults() Options {
	o.LookEvery = cmp.Or(o.LookEvery, 400*time.Millisecond)
	o.AskNextAfter = cmp.Or(o.AskNextAfter, 60*time.Millisecond)
	o.WaitAtPeer = cmp.Or(o.WaitAtPeer, 300*time.Millisecond)
	o.AskTimeout = cmp.Or(o.AskTimeout, 800*time.Millisecond)
	o.AskAgainAfter = cmp.Or(o.AskAgainAfter, 500*time.Millisecond)
	o.AskAgainAfterFailure = cmp.Or(o.AskAgainAfterFailure, 100*time.Millisecond)
	o.ConnectTimeout = cmp.Or(o.ConnectTimeout, 200*time.Millisecond)
	o.RelaySilentAfter = cmp.Or(o.RelaySilentAfter, 200*time.Millisecond)
	o.ReadSpread = cmp.Or(o.ReadSpread, time.Second)
	o.ReadAfterPart = cmp.Or(o.ReadAfterPart, 2*time.Second)
	o.RetryPause = cmp.Or(o.RetryPause, 500*time.Millisecond)
	return o
}

// Fetcher obtains the first copy from a peer or the store, and applies it.
type Fetcher struct {
	cfg  Config
	opts Options
}

// New returns a Fetcher. Without a logger in cfg it logs nothing.
func New(cfg Config) *Fetcher {
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	return &Fetcher{cfg: cfg, opts: cfg.Options.withDefaults()}
}

// Result describes how the first copy was obtained.
type Result struct {
	Source   string        // address of the balancer that sent the copy, or FromStore; empty if none was obtained
	Duration time.Duration // time since the start of Run
	Asked    int           // number of requests to other balancers
}

// FromStore is the value of Result.Source if the balancer read the store itself.
const FromStore = "store"

// Run searches for a first copy and returns once one has been applied or ctx has ended.
func (f *Fetcher) Run(ctx context.Context) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	s := f.newSearch(began)
	for ctx.Err() == nil && !pause.Over(f.cfg.State.Complete()) {
		s.startDueCalls(ctx, time.Now())
		s.awaitResult(ctx, time.Now())
	}
	if s.source == "" && ctx.Err() == nil {
		s.source = FromStore // copies from peers are applied by this goroutine; the read of the store has yet to return
	}
	r := Result{Source: s.source, Duration: time.Since(began), Asked: s.asked}
	if ctx.Err() == nil {
		f.cfg.Log.Info("first copy applied", "from", r.Source, "after", r.Duration.Round(time.Millisecond), "asked", r.Asked)
	}
	return r
}

// newSearch returns a search that starts at now.
func (f *Fetcher) newSearch(now time.Time) *search {
	return &search{
		Fetcher:             f,
		candidates:          NewCandidates(f.cfg.Self, f.cfg.Seeds, rand.Uint64(), f.opts.AskAgainAfter),
		random:              rand.Float64(),
		readRegistrationsAt: now,
		askAt:               now.Add(f.opts.AskNextAfter), // ask the seeds if the relays are still unknown by then
		results:             make(chan callResult),
	}
}
