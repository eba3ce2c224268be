package directory

import (
	"slices"
	"time"
)

// Apply brings changes into force, whoever brought them, and says so in the
// log.
func (f *Follower) Apply(changes Changes) {
	applied := f.directory.Apply(changes, time.Now())
	if applied.Version > 0 {
		f.opts.Log.Info("configuration in force", "version", applied.Version, "revision", changes.At)
	}
	if applied.Ignored > 0 {
		f.opts.Log.Warn("older configuration ignored", "version", applied.Ignored, "revision", changes.At)
	}
	for _, err := range slices.Concat(changes.Faults, applied.Faults) {
		f.opts.Log.Error("unusable entry", "error", err, "revision", changes.At)
	}
	for _, e := range applied.Zones {
		f.opts.Log.Info("zone", "zone", e.Zone, "evacuated", !e.Over, "revision", e.Revision)
	}
	for _, r := range applied.Rollouts {
		f.opts.Log.Info("rollout", "service", r.Order.Service, "version", r.version(), "state", r.Status().State, "share", r.Share(),
			"begun", r.Begun(), "taken_back", r.Order.Over, "by", r.Record.By)
	}
	f.logMoved(applied.Moved, changes)
	f.opts.Observe(changes)
}

// logMoved writes a line for each endpoint whose state changed, and one line for a first copy, which
// names all there are.
func (f *Follower) logMoved(moved []Change, changes Changes) {
	if (changes.Whole || changes.Part) && len(moved) > mostLines {
		count := map[State]int{}
		for _, c := range moved {
			count[c.State]++
		}
		f.opts.Log.Info("endpoints", "listed", count[Listed], "missing", count[Missing], "leaving", count[Leaving], "revision", changes.At)
		return
	}
	for _, c := range moved {
		f.opts.Log.Info("endpoint", "id", c.ID, "service", c.Service, "state", c.State.String(), "revision", changes.At)
	}
}

// mostLines is how many endpoints of a whole reading are told one by one.
const mostLines = 64
