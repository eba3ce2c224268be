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
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		switch open, leads := k.evaluateAll(ctx); {
		case leads:
			pause.For(ctx, evaluateInterval)
		case open:
			pause.Until(ctx, k.wake, leaderCheckInterval)
		default:
			pause.Until(ctx, k.wake, time.Hour)
		}
	}
}

// evaluateAll evaluates all rollouts once. It reports whether any is open and whether this balancer
// leads one of these. A rollout is open until it is completed or rolled back in the store's record,
// or its order is withdrawn.
func (k *Keeper) evaluateAll(ctx context.Context) (open, leads bool) {
	s := k.cfg.Directory.Snapshot()
	for _, r := range s.Rollouts {
		if r.Order.Over || r.Begun() && r.Recorded().State != rollout.Running {
			continue
		}
		open = true
		t := k.stateOf(r, k.cfg.Now())
		if !k.leads(r.Order.Service) {
			continue
		}
		leads = true
		k.advance(ctx, r, t, s.Endpoints[r.Order.Service])
	}
	return open, leads
}

// leads reports whether this balancer is the leader of a service's rollouts.
func (k *Keeper) leads(service string) bool {
	if k.cfg.Zones == nil {
		return true
	}
	zone, ok := rendezvous.First(service, k.cfg.Zones.RelayZones())
	return ok && zone == k.cfg.Zone && k.cfg.Zones.Serving()
}

// stateOf returns the state of a rollout, updated to its current order and record.
func (k *Keeper) stateOf(r directory.Rollout, now time.Time) *rolloutState {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, ok := k.states[r.Order.Service]
	if !ok || t.order != r.Order.Revision {
		t = &rolloutState{order: r.Order.Revision, orderSeen: now, kinds: map[string]*kindEvidence{}}
		k.states[r.Order.Service] = t
	}
	if status := r.Recorded(); t.revision != r.Revision || t.status != status {
		t.status, t.revision, t.statusSeen, t.writePause = status, r.Revision, now, 0
	}
	return t
}

// advance decides on the next status of a rollout, and writes it if it has changed.
func (k *Keeper) advance(ctx context.Context, r directory.Rollout, t *rolloutState, listed []directory.Endpoint) {
	now := k.cfg.Now()
	next, changed := k.next(r, t, listed, now)
	if next.State == rollout.RolledBack {
		k.takeOutOfService(r)
	}
	if !changed || now.Sub(t.lastWrite) < t.writePause {
		return
	}
	t.lastWrite = now
	err := k.writeStatus(ctx, r, next)
	switch {
	case err == nil:
		k.cfg.Log.Info("rollout advanced", "service", r.Order.Service, "version", r.Order.Version, "state", next.State, "share", next.Share())
		metrics.GetOrRegisterCounter(fmt.Sprintf("rollouts{state=%q}", next.State), k.cfg.Metrics).Inc(1)
	case errors.Is(err, relay.ErrTaken):
		k.cfg.Log.Info("rollout record was changed meanwhile", "service", r.Order.Service)
	default:
		k.cfg.Log.Warn("rollout record not written", "service", r.Order.Service, "error", err)
	}
	// The written record comes back as a change of the directory, which resets the pause. Until then
	// the pause keeps it from being written again.
	t.writePause = min(max(minWritePause, 2*t.writePause), maxWritePause)
}

// next returns the next status of a rollout, and whether it differs from the one in the store.
func (k *Keeper) next(r directory.Rollout, t *rolloutState, listed []directory.Endpoint, now time.Time) (rollout.Status, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !r.Begun() {
		return rollout.Status{State: rollout.Running}, true
	}
	bad, proved := t.evaluate(k.cfg.Counts.Sums(keyPrefix(r.Order.Service, r.Order.Revision)))
	facts := rollout.Facts{
		Since: now.Sub(t.orderSeen), InStage: now.Sub(t.statusSeen), Bad: bad || r.Bad, Proved: proved,
	}
	facts.New, facts.Old = countByVersion(listed, r.Order.Version, now)
	plan := rollout.Plan{Duration: r.Order.Duration, Settle: k.cfg.Settle}
	next := plan.Next(t.status, facts)
	k.cfg.Log.Debug("rollout evaluated", "service", r.Order.Service, "stage", t.status.Stage, "since", facts.Since, "in_stage", facts.InStage,
		"proved", facts.Proved, "new", facts.New, "old", facts.Old)
	return next, next != t.status
}

// countByVersion counts listed endpoints: newer run the given version and are not warming up, and
// older run the old version.
func countByVersion(listed []directory.Endpoint, version string, now time.Time) (newer, older int) {
	for i := range listed {
		switch e := &listed[i]; {
		case e.State != directory.Listed:
		case e.Version == version && !now.Before(e.WarmAt):
			newer++
		case e.Side == placement.OldSide:
			older++
		}
	}
	return newer, older
}

// writeStatus writes a status to the store, for all balancers and for operators.
func (k *Keeper) writeStatus(ctx context.Context, r directory.Rollout, next rollout.Status) error {
	value, err := json.Marshal(directory.RolloutRecord{
		Order: r.Order.Revision, Version: r.Order.Version, State: next.State, Stage: next.Stage, By: k.cfg.ID, Out: r.Out(),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return k.cfg.Registry.WriteRollout(ctx, directory.RecordName(r.Order.Service), value, r.Revision, r.Order, next.State)
}

// Errors of Stop.
var (
	// ErrNone is returned if the service has no open rollout.
	ErrNone = errors.New("rollout: no version of this service comes in")
	// ErrChanged is returned if the rollout's record was changed meanwhile.
	ErrChanged = errors.New("rollout: it has gone on meanwhile; look again")
)

// Stop rolls back the new version of a service, whatever the evidence. It returns ErrNone or
// ErrChanged, or an error of the store.
func (k *Keeper) Stop(ctx context.Context, service string) error {
	r, ok := findRollout(k.cfg.Directory.Snapshot(), service)
	if !ok || r.Order.Over || r.Begun() && r.Recorded().State != rollout.Running {
		return ErrNone
	}
	err := k.writeStatus(ctx, r, rollout.Status{State: rollout.RolledBack})
	if errors.Is(err, relay.ErrTaken) {
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

// List returns the status of all rollouts, sorted by service.
func (k *Keeper) List() []Status {
	var all []Status
	for _, r := range k.cfg.Directory.Snapshot().Rollouts {
		all = append(all, k.statusOf(r))
	}
	return all
}

// statusOf returns the status of a rollout.
func (k *Keeper) statusOf(r directory.Rollout) Status {
	st := Status{
		Service: r.Order.Service, Version: r.Order.Version, State: r.Status().State, Share: r.Share(), Duration: r.Order.Duration, By: r.Record.By,
		Leads: k.leads(r.Order.Service),
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	t, ok := k.states[r.Order.Service]
	if !ok || t.order != r.Order.Revision {
		return st
	}
	st.Since = k.cfg.Now().Sub(t.orderSeen)
	for name, kind := range t.kinds {
		st.Kinds = append(st.Kinds, KindStatus{
			Kind: name, Newer: kind.newer, Older: kind.older, Bad: kind.test.Bad(), Proved: kind.test.Proved(),
		})
	}
	slices.SortFunc(st.Kinds, func(a, b KindStatus) int { return strings.Compare(a.Kind, b.Kind) })
	return st
}
