package contract

import (
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/health"
	"github.com/lotuswing/lotuswing/coord/placement"
)

// contractHeld is a contract that has not ended.
type contractHeld struct {
	id      string
	holder  string
	class   placement.Class
	granted time.Time
	until   time.Time
	booked  bool // granted beyond the slots
}

// account is what the ledger knows of one endpoint and has granted there.
type account struct {
	placement.Endpoint
	health     health.State
	admission  admission.State // what it has said of whether it wants requests
	held       map[string]contractHeld
	leaving    bool
	cold       bool
	lastSign   time.Time // last sign that the endpoint stays
	pauseUntil time.Time // it shed a request and is left alone until then
	lastTrial  time.Time // last request sent to it although it is slow
	sheds      int       // in a row
}

func newAccount(e placement.Endpoint, opts Options) *account {
	return &account{Endpoint: e, health: health.New(opts.Health), held: map[string]contractHeld{}}
}

// shed leaves the endpoint alone for a moment, doubled while it goes on (see ShedPause).
func (s *account) shed(now time.Time, opts Options) {
	s.pauseUntil = now.Add(ShedPause(opts.ShedPause, s.sheds))
	s.sheds++
}

// capacity returns how many requests the endpoint may have in flight at now.
func (s *account) capacity(now time.Time, opts Options) int {
	switch {
	case s.leaving, s.health.Ejected(now), s.admission.BackingOff(now):
		return 0
	case s.health.OnTrial(now), s.admission.OnTrial(now):
		return 1
	case s.cold:
		return min(opts.ColdSlots, s.Slots)
	}
	return s.Slots
}

// free returns the slots that may be granted at now.
func (s *account) free(now time.Time, opts Options) int {
	if now.Before(s.pauseUntil) {
		return 0
	}
	return max(0, s.capacity(now, opts)-len(s.held))
}

// mayOverbook reports whether a request may be sent ahead of a free slot. A
// slot is idle while the news of its release and the next grant travel; a
// request that waits at the endpoint fills that time.
func (s *account) mayOverbook(now time.Time, depth int, opts Options) bool {
	whole := s.capacity(now, opts) == s.Slots && !now.Before(s.pauseUntil)
	return whole && len(s.held) < s.Slots+depth
}

// fresh reports whether the endpoint has lately shown that it stays.
func (s *account) fresh(now time.Time, opts Options) bool {
	return now.Sub(s.lastSign) <= opts.FreshFor
}

// tier orders endpoints before their speed does: lower is better.
type tier uint8

const (
	tierGood tier = iota
	tierUnconfirmed
	tierBooked // every slot is taken
	tierSlow
)

func (s *account) tier(now time.Time, opts Options, median float64) tier {
	switch {
	case s.health.Slow(median):
		return tierSlow
	case s.free(now, opts) == 0:
		return tierBooked
	case !s.fresh(now, opts):
		return tierUnconfirmed
	}
	return tierGood
}

// loadWeight is how much one request in flight counts against an endpoint, as
// a share of its slowness.
const loadWeight = 0.25

// cost is the expected time of a request, in units of the usual time.
func (s *account) cost(zone string, opts Options) float64 {
	c := s.health.Slowness() * (1 + loadWeight*float64(len(s.held)))
	if zone != s.Zone {
		c += opts.ZoneCost
	}
	return c
}

func sortBySign(list []*account) {
	slices.SortStableFunc(list, func(a, b *account) int { return a.lastSign.Compare(b.lastSign) })
}
