// Package node is a balancer's part in a fleet with homes: membership, the shared
// documents, the ledgers of the services whose home it is, and the measuring of
// endpoints.
//
// It owns the view of members, the marks of leaving endpoints, the replica of the
// documents and the ledgers, all of which a restart may lose. What the request path
// reads is an immutable snapshot behind an atomic pointer; every change builds a
// new one (snapshot.go). A request begins in acquire.go: at the home (home.go, and
// host.go on the home's side) or, where none answers, in alone.go. Members (membership.go)
// are kept up to date in heartbeat.go, documents in documents.go and vmlist.go, endpoints
// that leave in marks.go, measuring in measure.go, planned stops in handover.go. The rules are those of package
// coord/contract and its neighbours.
//
// It relies on package link for calls between balancers, on the product's store
// and on the platform's list of VMs, none of which has to answer.
//
// # Usage
//
//	n, err := node.Start(node.Config{Settings: s, Log: log, Metrics: registry})
//	defer n.Close()
//	grant, refusal := n.Acquire(ctx, ask)
//	n.Complete(grant, placement.Result{Outcome: placement.Completed, Took: took})
package node

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/document"
	"github.com/lotuswing/lotuswing/coord/member"
	"github.com/lotuswing/lotuswing/internal/bootclock"
	"github.com/lotuswing/lotuswing/link"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/storeclient"
	"github.com/rcrowley/go-metrics"
)

const (
	heartbeatPeriod = 300 * time.Millisecond
	heartbeatWait   = 200 * time.Millisecond // of one answer
	heartbeatFanout = 2                      // members in one period
	tickPeriod      = 20 * time.Millisecond  // of the ledgers
	renewPeriod     = time.Second            // of contracts in use, a third of their life
	pauseLimit      = 2 * time.Second        // beyond which the process counts as paused
	offerFanout     = 3                      // peers that hear of news at once
)

// Config of a node.
type Config struct {
	Settings settings.Settings
	Log      hclog.Logger
	Metrics  metrics.Registry
	Listener net.Listener // for links; nil to listen on Settings.Link
	// Streams serves the streams that other balancers open; nil for none.
	Streams link.StreamHandler
}

// Node is a running part of the fleet.
type Node struct {
	cfg      Config
	log      hclog.Logger
	metrics  metrics.Registry
	store    *storeclient.Client
	client   *link.Client
	server   *link.Server
	replica  document.Replica
	snapshot atomic.Pointer[snapshot]
	sequence atomic.Uint64

	publishing sync.Mutex // held by writers of the snapshot
	askingWhy  sync.Mutex // held by the one that asks a home why it has moved
	started    time.Time

	members *membership
	homes   homes
	local   local
	meters  map[string]*meter // by tenant

	stop context.CancelFunc
	done sync.WaitGroup
}

// Start joins the fleet.
func Start(cfg Config) (*Node, error) {
	t := cfg.Settings.TLS
	tlsConfig, err := link.Secure(t.Insecure, link.Files{Cert: t.Cert, Key: t.Key, CA: t.CA}, cfg.Log)
	if err != nil {
		return nil, err
	}
	if cfg.Listener == nil {
		l, err := net.Listen("tcp", cfg.Settings.Link)
		if err != nil {
			return nil, fmt.Errorf("node: %w", err)
		}
		cfg.Listener = l
	}
	n := build(cfg, tlsConfig)
	server, err := link.ServeStreams(cfg.Listener, tlsConfig, &receiver{n}, cfg.Streams)
	if err != nil {
		return nil, err
	}
	n.server = server
	n.run()
	return n, nil
}

func build(cfg Config, tlsConfig *tls.Config) *Node {
	s := cfg.Settings
	now := time.Now()
	self := member.Member{
		ID:          s.ID,
		Addr:        cfg.Listener.Addr().String(),
		Zone:        s.Zone,
		Incarnation: uint64(now.UnixMilli()),
	}
	n := &Node{
		cfg:     cfg,
		log:     cfg.Log,
		metrics: cfg.Metrics,
		store:   storeclient.New(s.Store.URL, storeclient.Options{Timeout: s.Store.Timeout, Rate: s.Store.Rate}),
		client:  link.NewClient(tlsConfig),
		members: newMembership(self, uint64(now.UnixNano())),
		started: now,
		meters:  map[string]*meter{},
	}
	n.homes.init(n)
	for _, tenantName := range s.Tenants {
		n.meters[tenantName] = newMeter(n, tenantName)
	}
	n.rebuild()
	return n
}

// run starts the loops.
func (n *Node) run() {
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.loop(ctx, heartbeatPeriod, n.heartbeat)
	n.loop(ctx, tickPeriod, n.tick)
	n.loop(ctx, renewPeriod, n.renew)
	n.loop(ctx, vmListPeriod, n.pollVMs)
	n.loop(ctx, forgetPeriod, n.forget)
	for _, name := range n.cfg.Settings.Tenants {
		n.loop(ctx, watchPause, func(ctx context.Context) { n.watch(ctx, name) })
		n.loop(ctx, measurePeriod, n.meters[name].step)
	}
}

// loop calls f again and again with a pause that is spread by a tenth.
func (n *Node) loop(ctx context.Context, period time.Duration, f func(context.Context)) {
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		for {
			f(ctx)
			pause := period - period/20 + time.Duration(rand.Int64N(int64(period/10)+1))
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
		}
	}()
}

// now returns the time for the ledgers: it follows the monotonic clock, so a
// jump of the wall clock moves nothing, and it has no hidden reading, so a
// trace holds all of it.
func (n *Node) now() time.Time {
	return n.started.Round(0).Add(time.Since(n.started))
}

// tick lets time pass for the ledgers and notices pauses of the process.
func (n *Node) tick(context.Context) {
	if n.homes.pause.Tick(bootclock.Now()) {
		n.log.Warn("process was paused; leases and ledgers dropped")
		n.homes.reset()
		for _, m := range n.meters {
			m.drop()
		}
	}
	n.homes.tick(n.now())
}

// Shutdown is Close, but answers the calls of other balancers that are under way, until ctx ends.
func (n *Node) Shutdown(ctx context.Context) {
	if err := n.server.Shutdown(ctx); err != nil {
		n.log.Debug("calls of other balancers cut", "error", err)
	}
	n.Close()
}

// Close ends all loops and links.
func (n *Node) Close() {
	n.stop()
	_ = n.server.Close() // its listener is closed whatever it says
	n.client.Close()
	n.done.Wait()
}

// Record writes a trace of the decisions about a service, of which this node
// must be the home, until ctx ends.
func (n *Node) Record(ctx context.Context, service string, w io.Writer) error {
	if n.snapshot.Load().homes[service].ID != n.cfg.Settings.ID {
		return fmt.Errorf("node: %s is not the home of %q", n.cfg.Settings.ID, service)
	}
	return n.homes.get(service).record(ctx, w)
}

// LinkAddr returns the address that peers use.
func (n *Node) LinkAddr() string { return n.cfg.Listener.Addr().String() }

// Version returns the version of a document that is in force here, 0 for none.
func (n *Node) Version(name string) uint64 {
	v, _ := n.replica.Get(name)
	return v.Version
}

// NextID returns an identity for a request, unique among all balancers.
func (n *Node) NextID() string {
	return fmt.Sprintf("%s-%x-%x", n.cfg.Settings.ID, n.started.UnixMilli(), n.sequence.Add(1))
}
