package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/rendezvous"
	"github.com/lotuswing/lotuswing/coord/rollout"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/relay"
	"github.com/rcrowley/go-metrics"
)

const (
	// evaluateInterval is the interval between evaluations of a rollout that this balancer leads.
	// Relays exchange urgent counts at the same interval.
	evaluateInterval = 100 * time.Millisecond
	// leaderCheckInterval is the interval between checks whether this balancer leads an open rollout.
	leaderCheckInterval = 500 * time.Millisecond
	// writeTimeout is the timeout of one attempt to write a record. After an attempt, the pause to the
	// next one starts at minWritePause and doubles up to maxWritePause.
	writeTimeout  = 1500 * time.Millisecond
	minWritePause = 200 * time.Millisecond
	maxWritePause = 2 * time.Second
)

// Run carries out rollouts until ctx is done. Without an open rollout it waits for an order.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		switch open, leads := c.evaluateAll(ctx); {
		case leads:
			pause.For(ctx, evaluateInterval)
		case open:
			pause.Until(ctx, c.wake, leaderCheckInterval)
		default:
			pause.Until(ctx, c.wake, time.Hour)
		}
	}
}

// evaluateAll evaluates all rollouts once. It reports whether any is open and whether this balancer
// leads one of these. A rollout is open until it is completed or rolled back in the store's record,
// or its order is withdrawn.
func (c *Controller) evaluateAll(ctx context.Context) (open, leads bool) {
	s := c.cfg.Directory.Snapshot()
	for _, r := range s.Rollouts {
		if r.Order.Withdrawn || r.Started() && r.RecordedStatus().State != rollout.Running {
			continue
		}
		open = true
		t := c.stateOf(r, c.cfg.Now())
		if !c.leads(r.Order.Service) {
			continue
		}
		leads = true
		c.advance(ctx, r, t, s.Endpoints[r.Order.Service])
	}
	return open, leads
}

// leads reports whether this balancer is the leader of a service's rollouts.
func (c *Controller) leads(service string) bool {
	if c.cfg.Zones == nil {
		return true
	}
	zone, ok := rendezvous.First(service, c.cfg.Zones.RelayZones())
	return ok && zone == c.cfg.Zone && c.cfg.Zones.Serving()
}

// stateOf returns the state of a rollout, updated to its current order and record.
func (c *Controller) stateOf(r directory.Rollout, now time.Time) *rolloutState {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.states[r.Order.Service]
	if !ok || !t.isOf(r.Order) {
		t = &rolloutState{order: r.Order.ID(), version: r.Order.Version, orderSeen: now, kinds: map[string]*kindEvidence{}}
		c.states[r.Order.Service] = t
	}
	if status := r.RecordedStatus(); t.revision != r.Revision || t.status != status {
		t.status, t.revision, t.statusSeen, t.writePause = status, r.Revision, now, 0
	}
	return t
}

// isOf reports whether the state is of an order.
func (t *rolloutState) isOf(o directory.RolloutOrder) bool {
	return t.order == o.ID() && t.version == o.Version
}

// advance decides on the next status of a rollout, and writes it if it has changed.
func (c *Controller) advance(ctx context.Context, r directory.Rollout, t *rolloutState, listed []directory.Endpoint) {
	now := c.cfg.Now()
	next, changed := c.next(r, t, listed, now)
	if next.State == rollout.RolledBack {
		c.takeOutOfService(r)
	}
	if !changed || now.Sub(t.lastWrite) < t.writePause {
		return
	}
	t.lastWrite = now
	err := c.writeStatus(ctx, r, next)
	switch {
	case err == nil:
		c.cfg.Log.Info("rollout advanced", "service", r.Order.Service, "version", r.Order.Version, "state", next.State, "share", next.Share())
		metrics.GetOrRegisterCounter(fmt.Sprintf("rollouts{state=%q}", next.State), c.cfg.Metrics).Inc(1)
	case errors.Is(err, relay.ErrAlreadyRegistered):
		c.cfg.Log.Info("rollout record was changed meanwhile", "service", r.Order.Service)
	default:
		c.cfg.Log.Warn("rollout record not written", "service", r.Order.Service, "error", err)
	}
	// The written record comes back as a change of the directory, which resets the pause. Until then
	// the pause keeps it from being written again.
	t.writePause = min(max(minWritePause, 2*t.writePause), maxWritePause)
}

// next returns the next status of a rollout, and whether it differs from the one in the store.
func (c *Controller) next(r directory.Rollout, t *rolloutState, listed []directory.Endpoint, now time.Time) (rollout.Status, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.Started() {
		return rollout.Status{State: rollout.Running}, true
	}
	bad, proved := t.evaluate(c.cfg.Counts.Sums(keyPrefix(r.Order.Service, r.Order.ID())))
	facts := rollout.Facts{
		Since: now.Sub(t.orderSeen), InStage: now.Sub(t.statusSeen), Bad: bad || r.Bad, Proved: proved,
	}
	facts.New, facts.Old = countByVersion(listed, r.Order.Version, now)
	plan := rollout.Plan{Duration: r.Order.Duration, SettleTime: c.cfg.SettleTime}
	next := plan.Next(t.status, facts)
	c.cfg.Log.Debug("rollout evaluated", "service", r.Order.Service, "stage", t.status.Stage, "since", facts.Since, "in_stage", facts.InStage,
		"proved", facts.Proved, "new", facts.New, "old", facts.Old)
	return next, next != t.status
}

// countByVersion counts listed endpoints: newer run the given version and are not warming up, and
// older run the old version.
func countByVersion(listed []directory.Endpoint, version string, now time.Time) (newer, older int) {
	for i := range listed {
		switch e := &listed[i]; {
		case e.State != directory.Listed:
		case e.Version == version && !now.Before(e.WarmUntil):
			newer++
		case e.Side == placement.OldSide:
			older++
		}
	}
	return newer, older
}

// writeStatus writes a status to the store, for all balancers and for operators.
func (c *Controller) writeStatus(ctx context.Context, r directory.Rollout, next rollout.Status) error {
	value, err := json.Marshal(directory.RolloutRecord{
		Order: r.Order.ID(), Version: r.Order.Version, State: next.State, Stage: next.Stage, By: c.cfg.ID, Out: r.HeldBackVersions(),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.cfg.Registry.WriteRollout(ctx, directory.RolloutRecordName(r.Order.Service), value, r.Revision, r.Order, next.State)
}

// Errors of Stop.
var (
	// ErrNoRollout is returned if the service has no open rollout.
	ErrNoRollout = errors.New("rollout: no version of this service comes in")
	// ErrChanged is returned if the rollout's record was changed meanwhile.
	ErrChanged = errors.New("rollout: it has gone on meanwhile; look again")
)

// Stop rolls back the new version of a service, whatever the evidence. It returns ErrNoRollout or
// ErrChanged, or an error of the store.
func (c *Controller) Stop(ctx context.Context, service string) error {
	r, ok := findRollout(c.cfg.Directory.Snapshot(), service)
	if !ok || r.Order.Withdrawn || r.Started() && r.RecordedStatus().State != rollout.Running {
		return ErrNoRollout
	}
	err := c.writeStatus(ctx, r, rollout.Status{State: rollout.RolledBack})
	if errors.Is(err, relay.ErrAlreadyRegistered) {
		return ErrChanged
	}
	return err
}

// Status is the status of a rollout for operators. It is encoded as JSON by its field names.
type Status struct {
	Service  string
	Version  string
	State    rollout.State
	Share    float64
	Duration time.Duration
	Since    time.Duration // time since this balancer first handled the order; 0 if it has not yet
	By       string        // balancer that wrote the record last
	Leads    bool          // this balancer is the leader
	Kinds    []KindStatus  // evidence on which the leader decides
}

// KindStatus is the evidence for one kind of request.
type KindStatus struct {
	Kind         string // empty for all kinds together
	Newer, Older rollout.Sample
	Bad, Proved  bool
}

// Statuses returns the status of all rollouts, sorted by service.
func (c *Controller) Statuses() []Status {
	var all []Status
	for _, r := range c.cfg.Directory.Snapshot().Rollouts {
		all = append(all, c.statusOf(r))
	}
	return all
}

// statusOf returns the status of a rollout.
func (c *Controller) statusOf(r directory.Rollout) Status {
	st := Status{
		Service: r.Order.Service, Version: r.Order.Version, State: r.Status().State, Share: r.Share(), Duration: r.Order.Duration, By: r.Record.By,
		Leads: c.leads(r.Order.Service),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.states[r.Order.Service]
	if !ok || !t.isOf(r.Order) {
		return st
	}
	st.Since = c.cfg.Now().Sub(t.orderSeen)
	for name, kind := range t.kinds {
		st.Kinds = append(st.Kinds, KindStatus{
			Kind: name, Newer: kind.newer, Older: kind.older, Bad: kind.test.Bad(), Proved: kind.test.Proved(),
		})
	}
	slices.SortFunc(st.Kinds, func(a, b KindStatus) int { return strings.Compare(a.Kind, b.Kind) })
	return st
}
