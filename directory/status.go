package directory

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/position"
)

// Status describes to operators, at /status, what the directory knows of the store's content and from whom. Its
// field names are those of the JSON.
type Status struct {
	Era      uint64        // how often the store has said that it was restored from a copy
	Revision uint64        // within the era, up to which all changes are known
	Behind   bool          // a check has seen a later change, which is on its way
	Holding  bool          // the store was restored a moment ago, so that what is known counts
	Age      time.Duration // since nothing was missing as far as checks tell; 0 if that is unknown
	LastVia  Via           // way by which the latest changes came; empty if there were none
	LastAge  time.Duration // for how long the store may have had them by then; 0 if that is unknown
	Rereads  int64         // full reads because the store refused a watch, or a watch missed changes
	Unusable int           // parts of the configuration in force that cannot be used
}

// lastChanges is what Status tells of the latest changes. It is immutable.
type lastChanges struct {
	via Via
	age time.Duration
}

// Status returns the status at the time now.
func (f *Follower) Status(now time.Time) Status {
	snapshot := f.directory.Snapshot()
	at := snapshot.Revision
	st := Status{
		Era: position.Era(at), Revision: position.Revision(at), Behind: f.watching.lack(at).behind, Holding: f.directory.Holding(), Rereads: f.rereads.Load(),
	}
	if snapshot.Config != nil {
		st.Unusable = len(snapshot.Config.Faults)
	}
	if confirmed := f.Confirmed(); !confirmed.IsZero() {
		st.Age = now.Sub(confirmed)
	}
	if last := f.last.Load(); last != nil {
		st.LastVia, st.LastAge = last.via, last.age
	}
	return st
}
