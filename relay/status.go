package relay

import "time"

// Status describes to operators, at /status, where the group's copy of the store comes from. Its
// field names are those of the JSON.
type Status struct {
	FirstFrom  string        // source of the first copy: a balancer's address or "store"; empty until there is one
	FirstAfter time.Duration // from the start until the first copy was applied
	Following  string        // ID of the relay that is followed, or "store"
	Age        time.Duration // since the copy was last confirmed to be the store's current state
}

// WatchesStore is the value of Status.Following while the balancer watches the store.
const WatchesStore = "store"

// Status returns the status at the time now.
func (g *Group) Status(now time.Time) Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := Status{FirstFrom: g.bootstrapResult.Source, FirstAfter: g.bootstrapResult.Duration, Following: g.currentRelay.ID}
	confirmedAt := g.confirmedAt
	if g.follower.Active() {
		st.Following = WatchesStore
		if answered := g.follower.LastAnswer(); answered.After(confirmedAt) {
			confirmedAt = answered
		}
	}
	if !confirmedAt.IsZero() {
		st.Age = now.Sub(confirmedAt)
	}
	return st
}
