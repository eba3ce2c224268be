package relay

import "time"

// Status is what a group tells operators at /status of where its copy of the store
// comes from. Its names are the JSON's.
type Status struct {
	FirstFrom  string        // who had the first copy: a balancer's address, or "store"; empty while there is none
	FirstAfter time.Duration // from the start until it was in force
	Following  string        // a relay's identity, or "store"
	Age        time.Duration // since what is in force was known to be the store's present state
}

// FollowsStore stands in Status for the store.
const FollowsStore = "store"

// Status returns the status at now.
func (g *Group) Status(now time.Time) Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := Status{FirstFrom: g.first.From, FirstAfter: g.first.After, Following: g.relayed.ID}
	confirmed := g.confirmed
	if g.follower.Active() {
		st.Following = FollowsStore
		if answered := g.follower.Answered(); answered.After(confirmed) {
			confirmed = answered
		}
	}
	if !confirmed.IsZero() {
		st.Age = now.Sub(confirmed)
	}
	return st
}
