package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/leaving"
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

// alone chooses an endpoint without a home. While this balancer has its share in flight on
// all of them it pauses, and nothing is decided.
func (n *Node) alone(ctx context.Context, r placement.Request, end time.Time) (g placement.Grant, refusal *placement.Refusal, decided bool) {
	g, found, full := n.chooseAlone(r)
	switch {
	case found:
		return g, nil, true
	case !full:
		return g, &placement.Refusal{Reason: reason.NoEndpoint, RetryAfter: defaultRetryAfter}, true
	case ctx.Err() != nil:
		return g, &placement.Refusal{Reason: reason.CallerLeft}, true
	case !time.Now().Before(end):
		return g, &placement.Refusal{Reason: reason.Expired, RetryAfter: defaultRetryAfter}, true
	}
	if r.Class == placement.Patient {
		pause.For(ctx, alonePausePatient)
	} else {
		pause.For(ctx, alonePause)
	}
	return g, nil, false
}

// chooseAlone compares two random choices among the candidates. full reports that
// some are usable but busy.
func (n *Node) chooseAlone(r placement.Request) (g placement.Grant, found, full bool) {
	s := n.snapshot.Load()
	list := s.endpoints[r.Service]
	n.local.mu.Lock()
	candidates, full := aloneCandidates(list, n.local.endpoints, s.leaving, r.Avoid, len(s.ids), time.Now())
	n.local.mu.Unlock()
	i, ok := pick.TwoChoices(candidates, newRand())
	if !ok {
		return placement.Grant{}, false, full
	}
	g = placement.Grant{ID: r.ID, Service: r.Service, Endpoint: list[i], Class: r.Class}
	n.local.begin(g)
	n.counter("chosen_alone").Inc(1)
	return g, true, false
}

// aloneCandidates returns the endpoints as a balancer without a home sees them:
// usable are those not known to be leaving, ejected or tried, up to its share of
// their slots among so many balancers and not right after a shed. full reports that some are usable but busy.
func aloneCandidates(list []placement.Endpoint, known map[string]own, marks leaving.Set, avoid []string, balancers int, now time.Time) (candidates []pick.Candidate, full bool) {
	candidates = make([]pick.Candidate, len(list))
	for i, e := range list {
		o := known[e.VM]
		usable := admission.AcceptsChosen(!marks.Has(e.VM), o.admission, now) && !o.health.Ejected(now)
		share := max(1, aloneLimit*e.Slots/max(1, balancers))
		if o.admission.OnTrial(now) {
			share = 1
		}
		free := o.inFlight < share && !now.Before(o.pauseUntil) && !slices.Contains(avoid, e.VM)
		full = full || usable && !free
		candidates[i] = pick.Candidate{Usable: usable && free, InFlight: o.inFlight, Slowness: o.health.Slowness()}
	}
	return candidates, full
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
