package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/pick"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/internal/pause"
)

const (
	// aloneLimit is how many requests a balancer that chooses alone has in
	// flight on one endpoint, for each of its slots that would be its share.
	aloneLimit = 2
	// alonePause is between two looks for an endpoint with room, and
	// alonePausePatient that of patient requests, which so come second.
	alonePause        = 10 * time.Millisecond
	alonePausePatient = 100 * time.Millisecond
)

// alone chooses an endpoint without a home, and waits while this balancer has
// its share in flight on all of them.
func (n *Node) alone(ctx context.Context, a placement.Request, end time.Time) (placement.Grant, *placement.Refusal) {
	for {
		g, found, full := n.chooseAlone(a)
		switch {
		case found:
			return g, nil
		case !full:
			return placement.Grant{}, &placement.Refusal{Reason: reason.NoEndpoint, RetryAfter: time.Second}
		case ctx.Err() != nil:
			return placement.Grant{}, &placement.Refusal{Reason: reason.CallerLeft}
		case !time.Now().Before(end):
			return placement.Grant{}, &placement.Refusal{Reason: reason.Expired, RetryAfter: time.Second}
		}
		if a.Class == placement.Patient {
			pause.For(ctx, alonePausePatient)
		} else {
			pause.For(ctx, alonePause)
		}
		a.Avoid = nil // another may have had time to recover
	}
}

// chooseAlone compares two random choices among the endpoints not known to be
// leaving, ejected or tried. full reports that some are usable but busy.
func (n *Node) chooseAlone(a placement.Request) (g placement.Grant, found, full bool) {
	s := n.snapshot.Load()
	list := s.endpoints[a.Service]
	now := time.Now()
	candidates := make([]pick.Candidate, len(list))
	n.local.mu.Lock()
	for i, e := range list {
		o := n.local.endpoints[e.VM]
		usable := !s.leaving.Has(e.VM) && !o.health.Ejected(now)
		share := max(1, aloneLimit*e.Slots/max(1, len(s.ids)))
		free := o.inFlight < share && !slices.Contains(a.Avoid, e.VM)
		full = full || usable && !free
		candidates[i] = pick.Candidate{Usable: usable && free, InFlight: o.inFlight, Slowness: o.health.Slowness()}
	}
	n.local.mu.Unlock()
	i, ok := pick.TwoChoices(candidates, newRand())
	if !ok {
		return placement.Grant{}, false, full
	}
	g = placement.Grant{ID: a.ID, Service: a.Service, Endpoint: list[i], Class: a.Class}
	n.local.begin(g)
	n.counter("chosen_alone").Inc(1)
	return g, true, false
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
