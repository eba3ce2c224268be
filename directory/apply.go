package directory

import (
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/position"
	"github.com/lotuswing/lotuswing/internal/untrusted"
)

// Apply applies changes to the directory, whether the store or another process sent them, and logs
// what they did.
func (f *Follower) Apply(changes Changes) {
	now := time.Now()
	applied := f.directory.Apply(changes, now)
	if applied.Restored {
		f.opts.Log.Warn("store was restored from a copy; what is known counts for a while", "at", position.Text(changes.Revision), "for", restoreHold)
		time.AfterFunc(restoreHold, f.endHold)
	}
	if changes.Count() > 0 {
		f.last.Store(&lastChanges{via: changes.Via, age: changes.Age(now)})
	}
	f.logApplied(applied, changes, now)
	f.opts.OnApplied(changes)
}

// endHold applies what was held of a full read of a restored store.
func (f *Follower) endHold() {
	now := time.Now()
	applied := f.directory.EndHold(now)
	if f.directory.Holding() {
		return // the store was restored once more
	}
	f.opts.Log.Info("content of the restored store counts", "endpoints_changed", len(applied.StateChanges), "zones_changed", len(applied.Zones))
	f.logApplied(applied, Changes{Revision: f.directory.Snapshot().Revision, Via: ViaRead}, now)
}

// logApplied logs what changes did to the directory.
func (f *Follower) logApplied(applied Applied, changes Changes, now time.Time) {
	at := position.Text(changes.Revision)
	within := changes.Age(now).Milliseconds()
	if applied.Version > 0 {
		f.opts.Log.Info("configuration in force", "version", applied.Version, "revision", at, "via", changes.Via, "within_ms", within, "unusable_parts", len(applied.Faults))
	}
	for i, fault := range applied.Faults {
		if i == maxFaultLines {
			f.opts.Log.Error("more parts of the configuration cannot be used", "version", applied.Version, "parts", len(applied.Faults)-i)
			break
		}
		f.opts.Log.Error("part of the configuration cannot be used", "version", applied.Version, "error", untrusted.Brief(fault))
	}
	if applied.Ignored > 0 {
		f.opts.Log.Warn("older configuration ignored", "version", applied.Ignored, "revision", at)
	}
	for _, err := range f.reports.New(slices.Concat(changes.Errors, applied.Errors), now) {
		f.opts.Log.Error("unusable entry", "error", err, "revision", at)
	}
	for _, e := range applied.Zones {
		f.opts.Log.Info("zone", "zone", e.Zone, "evacuated", !e.Ended, "revision", position.Text(e.Revision))
	}
	for _, r := range applied.Rollouts {
		f.opts.Log.Info("rollout", "service", r.Order.Service, "version", r.version(), "state", r.Status().State, "share", r.Share(),
			"begun", r.Started(), "taken_back", r.Order.Withdrawn, "by", r.Record.By)
	}
	f.logStateChanges(applied.StateChanges, changes, now)
}

// logStateChanges logs one line for each endpoint whose state changed. If the changes are a full
// read, or a part of a full read, and changed more than maxEndpointLines endpoints, it logs one line
// with the number of endpoints by state instead.
func (f *Follower) logStateChanges(stateChanges []Change, changes Changes, now time.Time) {
	if (changes.Complete || changes.Partial) && len(stateChanges) > maxEndpointLines {
		count := map[State]int{}
		for _, c := range stateChanges {
			count[c.State]++
		}
		f.opts.Log.Info("endpoints", "listed", count[Listed], "missing", count[Missing], "leaving", count[Leaving], "revision", position.Text(changes.Revision))
		return
	}
	within := changes.Age(now).Milliseconds()
	for _, c := range stateChanges {
		f.opts.Log.Info("endpoint", "id", c.ID, "service", c.Service, "state", c.State.String(), "revision", position.Text(changes.Revision),
			"via", changes.Via, "within_ms", within)
	}
}

// maxFaultLines is how many unusable parts of a configuration are logged with a line each.
const maxFaultLines = 16

// maxEndpointLines is the largest number of state changes of a full read that are logged with a
// line each.
const maxEndpointLines = 64
