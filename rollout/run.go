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
	// lookEvery is between two looks at a roll-out that this balancer leads: as often as
	// relays tell one another what was counted while that presses.
	lookEvery = 100 * time.Millisecond
	// followEvery is between two looks whether this balancer leads one.
	followEvery = 500 * time.Millisecond
	// writeWithin bounds one try to write a record; firstPause and longestPause are the pauses
	// after one that failed.
	writeWithin  = 1500 * time.Millisecond
	firstPause   = 200 * time.Millisecond
	longestPause = 2 * time.Second
)

// Run carries roll-outs out until ctx ends. Without an order it waits for one.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		switch open, leads := k.look(ctx); {
		case leads:
			pause.For(ctx, lookEvery)
		case open:
			pause.Until(ctx, k.wake, followEvery)
		default:
			pause.Until(ctx, k.wake, time.Hour)
		}
	}
}

// look looks at all roll-outs once, and reports whether any is open and whether this
// balancer leads one of these.
func (k *Keeper) look(ctx context.Context) (open, leads bool) {
	s := k.cfg.Directory.Snapshot()
	for _, r := range s.Rollouts {
		if r.Order.Over || r.Begun() && r.Recorded().State != rollout.Running {
			continue
		}
		open = true
		t := k.note(r, k.cfg.Now())
		if !k.leads(r.Order.Service) {
			continue
		}
		leads = true
		k.lead(ctx, r, t, s.Endpoints[r.Order.Service])
	}
	return open, leads
}

// leads reports whether this balancer is the one that carries a service's roll-outs out.
func (k *Keeper) leads(service string) bool {
	if k.cfg.Zones == nil {
		return true
	}
	zone, ok := rendezvous.First(service, k.cfg.Zones.RelayZones())
	return ok && zone == k.cfg.Zone && k.cfg.Zones.Serving()
}

// note notes an order and how far it has come.
func (k *Keeper) note(r directory.Rollout, now time.Time) *trial {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, ok := k.trials[r.Order.Service]
	if !ok || t.order != r.Order.Revision {
		t = &trial{order: r.Order.Revision, seen: now, kinds: map[string]*kind{}}
		k.trials[r.Order.Service] = t
	}
	if status := r.Recorded(); t.revision != r.Revision || t.status != status {
		t.status, t.revision, t.reached, t.pause = status, r.Revision, now, 0
	}
	return t
}

// lead decides how a roll-out goes on, and writes it.
func (k *Keeper) lead(ctx context.Context, r directory.Rollout, t *trial, listed []directory.Endpoint) {
	now := k.cfg.Now()
	next, changed := k.next(r, t, listed, now)
	if next.State == rollout.RolledBack {
		k.takeOut(r)
	}
	if !changed || now.Sub(t.tried) < t.pause {
		return
	}
	t.tried = now
	err := k.write(ctx, r, next)
	switch {
	case err == nil:
		k.cfg.Log.Info("rollout goes on", "service", r.Order.Service, "version", r.Order.Version, "state", next.State, "share", next.Share())
		metrics.GetOrRegisterCounter(fmt.Sprintf("rollouts{state=%q}", next.State), k.cfg.Metrics).Inc(1)
	case errors.Is(err, relay.ErrTaken):
		k.cfg.Log.Info("rollout written by another", "service", r.Order.Service)
	default:
		k.cfg.Log.Warn("rollout not written", "service", r.Order.Service, "error", err)
	}
	// What was written comes back as a change; until then it is not written again.
	t.pause = min(max(firstPause, 2*t.pause), longestPause)
}

// next returns the status that follows, and whether it is another one than the store holds.
func (k *Keeper) next(r directory.Rollout, t *trial, listed []directory.Endpoint, now time.Time) (rollout.Status, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !r.Begun() {
		return rollout.Status{State: rollout.Running}, true
	}
	bad, proved := t.judge(k.cfg.Counts.Sums(prefixOf(r.Order.Service, r.Order.Revision)))
	facts := rollout.Facts{
		Since: now.Sub(t.seen), InStage: now.Sub(t.reached), Bad: bad || r.Bad, Proved: proved,
	}
	facts.New, facts.Old = countVersions(listed, r.Order.Version, now)
	plan := rollout.Plan{Duration: r.Order.Duration, Settle: k.cfg.Settle}
	next := plan.Next(t.status, facts)
	k.cfg.Log.Debug("rollout looked at", "service", r.Order.Service, "stage", t.status.Stage, "since", facts.Since, "in_stage", facts.InStage,
		"proved", facts.Proved, "new", facts.New, "old", facts.Old)
	return next, next != t.status
}

// countVersions returns how many endpoints run a version and do not warm up, and how many run
// the one that serves so far.
func countVersions(listed []directory.Endpoint, version string, now time.Time) (newer, older int) {
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

// write writes a status for all balancers and for the operators.
func (k *Keeper) write(ctx context.Context, r directory.Rollout, next rollout.Status) error {
	value, err := json.Marshal(directory.RolloutRecord{
		Order: r.Order.Revision, Version: r.Order.Version, State: next.State, Stage: next.Stage, By: k.cfg.ID, Out: r.Out(),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeWithin)
	defer cancel()
	return k.cfg.Registry.WriteRollout(ctx, directory.RecordName(r.Order.Service), value, r.Revision, r.Order, next.State)
}

// Errors of an operator's word.
var (
	// ErrNone says that no version of a service comes in.
	ErrNone = errors.New("rollout: no version of this service comes in")
	// ErrChanged says that the roll-out has gone on meanwhile.
	ErrChanged = errors.New("rollout: it has gone on meanwhile; look again")
)

// Stop has a version rolled back that comes in, whatever the evidence.
func (k *Keeper) Stop(ctx context.Context, service string) error {
	r, ok := find(k.cfg.Directory.Snapshot(), service)
	if !ok || r.Order.Over || r.Begun() && r.Recorded().State != rollout.Running {
		return ErrNone
	}
	err := k.write(ctx, r, rollout.Status{State: rollout.RolledBack})
	if errors.Is(err, relay.ErrTaken) {
		return ErrChanged
	}
	return err
}

// Status is what operators are told of a roll-out. Its names are the JSON's.
type Status struct {
	Service  string
	Version  string
	State    rollout.State
	Share    float64
	Duration time.Duration
	Since    time.Duration // the order was seen here
	By       string        // the balancer that decided last
	Leads    bool          // this balancer decides, and Kinds are what it rests on
	Kinds    []KindStatus
}

// KindStatus is what is held against a version for one kind of request.
type KindStatus struct {
	Kind         string // empty for all
	Newer, Older rollout.Sample
	Bad, Proved  bool
}

// List returns all roll-outs, in the order of their services.
func (k *Keeper) List() []Status {
	var all []Status
	for _, r := range k.cfg.Directory.Snapshot().Rollouts {
		all = append(all, k.statusOf(r))
	}
	return all
}

func (k *Keeper) statusOf(r directory.Rollout) Status {
	st := Status{
		Service: r.Order.Service, Version: r.Order.Version, State: r.Status().State, Share: r.Share(), Duration: r.Order.Duration, By: r.Record.By,
		Leads: k.leads(r.Order.Service),
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	t, ok := k.trials[r.Order.Service]
	if !ok || t.order != r.Order.Revision {
		return st
	}
	st.Since = k.cfg.Now().Sub(t.seen)
	for name, kind := range t.kinds {
		st.Kinds = append(st.Kinds, KindStatus{
			Kind: name, Newer: kind.newer, Older: kind.older, Bad: kind.test.Bad(), Proved: kind.test.Proved(),
		})
	}
	slices.SortFunc(st.Kinds, func(a, b KindStatus) int { return strings.Compare(a.Kind, b.Kind) })
	return st
}
