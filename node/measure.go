package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/budget"
	"github.com/lotuswing/lotuswing/coord/lease"
	"github.com/lotuswing/lotuswing/coord/leaving"
	"github.com/lotuswing/lotuswing/coord/rendezvous"
	"github.com/lotuswing/lotuswing/internal/bootclock"
	"github.com/lotuswing/lotuswing/link"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
)

const (
	measurePeriod = 100 * time.Millisecond
	measureLease  = 5 * time.Second
	measureRenew  = measureLease / 3
	// measureSilent is how long an endpoint may be silent before it is worth a
	// probe: less than what contract.Options.FreshFor takes for fresh.
	measureSilent = time.Second
	probeTimeout  = 500 * time.Millisecond
)

// meter measures the endpoints of one tenant, while it holds the lease and
// within the budget. Only balancers that hold the lease measure: with the
// store down, nobody does.
type meter struct {
	node   *Node
	tenant string
	keeper *lease.Keeper
	http   *http.Client
	spent  metrics.Counter // endpoint time, in microseconds
	probes metrics.Counter

	mu      sync.Mutex
	account budget.Account
	renewed time.Time
	left    bool // the lease was given back in a planned stop, and is not taken again
}

func newMeter(n *Node, tenantName string) *meter {
	holder := n.NextID()
	return &meter{
		node:   n,
		tenant: tenantName,
		keeper: lease.NewKeeper(n.store, "lease/measure/"+tenantName, holder, measureLease),
		// A connection for each probe: its cost is part of the probe's.
		http:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: probeTimeout},
		spent:  n.counter("measuring_spent_us{tenant=\"" + tenantName + "\"}"),
		probes: n.counter("measuring_probes{tenant=\"" + tenantName + "\"}"),
	}
}

func (n *Node) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, n.metrics)
}

// step renews the lease when it is time and makes the probes that are due.
func (m *meter) step(ctx context.Context) {
	s := m.node.snapshot.Load()
	cfg := s.configs[m.tenant]
	first, _ := rendezvous.First("measure/"+m.tenant, s.ids)
	if cfg == nil || cfg.Measuring.Rate == 0 || first != m.node.cfg.Settings.ID {
		return
	}
	m.hold(ctx, cfg.Measuring)
	for service, desc := range cfg.Services {
		if desc.ProbePath != "" {
			m.probeService(ctx, cfg, service)
		}
	}
}

// hold keeps the lease; a new holding begins with an empty bucket.
func (m *meter) hold(ctx context.Context, cfg tenant.Measuring) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := bootclock.Now()
	if m.left || now.Sub(m.renewed) < measureRenew {
		return
	}
	m.renewed = now
	term, err := m.keeper.Renew(ctx, bootclock.Now)
	if err != nil {
		m.node.log.Debug("measuring lease not renewed", "tenant", m.tenant, "error", err)
		return
	}
	if !term.SameHolding(m.account.Term()) {
		m.node.log.Info("measuring lease acquired", "tenant", m.tenant, "token", term.Token)
	}
	m.account = m.account.WithTerm(term, cfg.Limit(), bootclock.Now())
}

// drop forgets the lease, as after a pause.
func (m *meter) drop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keeper.Drop()
	m.account = budget.Account{}
}

// release gives the lease back, as in a planned stop.
func (m *meter) release(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account, m.left = budget.Account{}, true
	if err := m.keeper.Release(ctx); err != nil { // it lapses by itself then
		m.node.log.Debug("measuring lease not given back", "tenant", m.tenant, "error", err)
	}
}

// spend accounts for one probe, if the lease is held and the budget covers it.
func (m *meter) spend(cost time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	next, ok := m.account.Spend(bootclock.Now(), cost)
	m.account = next
	if ok {
		m.spent.Inc(cost.Microseconds())
		m.probes.Inc(1)
	}
	return ok
}

func (m *meter) probeService(ctx context.Context, cfg *tenant.Config, service string) {
	key := m.tenant + "/" + service
	home, ok := m.node.snapshot.Load().homes[key]
	if !ok {
		return
	}
	var reply link.UnconfirmedReply
	args := link.UnconfirmedArgs{Service: key, Silent: measureSilent}
	if err := m.node.call(ctx, home, homeWait, link.Unconfirmed, args, &reply); err != nil {
		m.node.log.Debug("home not asked what to measure", "service", key, "error", err)
		return
	}
	for _, e := range reply.Endpoints {
		if !m.spend(cfg.Measuring.Cost()) {
			return
		}
		report := m.probe(ctx, "http://"+e.Addr+cfg.Services[service].ProbePath)
		m.node.hear(service, e.VM, report, leaving.Probe)
		if report.Load.Known {
			m.node.tell(ctx, home, homeWait, link.Sign, link.SignArgs{Service: key, VM: e.VM, Load: report.Load})
		}
	}
}

// nativeReader reads what endpoints say of themselves.
var nativeReader = func() *upstream.Reader {
	d := upstream.Native()
	return upstream.NewReader(&d)
}()

// probe asks an endpoint once; the lease is checked again just before. What it did
// not learn is not known.
func (m *meter) probe(ctx context.Context, url string) upstream.Report {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return upstream.Report{}
	}
	m.mu.Lock()
	holds := m.account.TermValid(bootclock.Now())
	m.mu.Unlock()
	if !holds {
		return upstream.Report{}
	}
	asked := time.Now()
	resp, err := m.http.Do(req)
	if err != nil {
		m.node.log.Debug("endpoint not measured", "tenant", m.tenant, "error", err)
		return upstream.Report{}
	}
	_ = resp.Body.Close() // only the header counts
	return nativeReader.Read(resp.StatusCode, resp.Header, asked, time.Now())
}
