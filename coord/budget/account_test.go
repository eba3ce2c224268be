package budget_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/budget"
	"github.com/lotuswing/lotuswing/coord/internal/fakestore"
	"github.com/lotuswing/lotuswing/coord/lease"
	"gotest.tools/v3/assert"
)

const (
	ttl           = 5 * time.Second
	renewInterval = ttl / 9
	cost          = 7 * time.Millisecond
	step          = 50 * time.Millisecond

	seeds = 10000
	steps = 400
)

var limit = budget.Limit{Rate: 40 * time.Millisecond, Burst: 28 * time.Millisecond, Reserve: 14 * time.Millisecond}

// holder is a balancer that measures while it holds the lease. Like the daemon, it charges the
// cost, checks the term again and sends.
type holder struct {
	keeper            *lease.Keeper
	account           budget.Account
	renewedAt         time.Time // when the lease was last renewed; in the future after a release
	pausedUntil       time.Time
	pausedBeforeSend  bool // paused between the last check and sending
	pausedBeforeCheck bool // paused between charging and the last check
}

// measurement is one measurement that reached an endpoint.
type measurement struct {
	at   time.Time
	cost time.Duration
}

// simulation is a fleet in virtual time.
type simulation struct {
	t           *testing.T
	rng         *rand.Rand
	now         time.Time
	store       *fakestore.Store
	holders     []*holder
	spent       []measurement
	pendingLate int // measurements paused after the last check and not sent yet
	storeDown   bool
	// lateSent counts the measurements that were sent after such a pause.
	lateSent int
}

// TestFleetStaysWithinLimit simulates leases that expire, holders that are paused at any point and
// resume, lost replies of the store and store outages. In every window the fleet must spend no
// more than the limit allows. Reserve covers two measurements: one that the current holder has
// charged and not sent yet, and one of an earlier holder that was paused after its last check.
func TestFleetStaysWithinLimit(t *testing.T) {
	total, late := 0, 0
	for seed := range uint64(seeds) {
		w := newSimulation(t, seed)
		for range steps {
			w.step()
		}
		w.check(seed)
		total += len(w.spent)
		late += w.lateSent
	}
	t.Logf("%d seeds, %d measurements, %d of them late", seeds, total, late)
	assert.Assert(t, total > 20*seeds, "only %d measurements, too few for the test to mean anything", total)
	assert.Assert(t, late > seeds/10, "only %d late measurements, too few for the test to mean anything", late)
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	w := &simulation{t: t, now: time.Unix(1e9, 0), rng: rand.New(rand.NewPCG(seed, 20261202))}
	w.store = fakestore.New(fakestore.Options{
		Clock: func() time.Time { return w.now },
		Roll: func(n int) int {
			if w.storeDown {
				return 0
			}
			return w.rng.IntN(n)
		},
		Down: 5, Lost: 20, Delayed: 5,
	})
	for i := range 3 {
		w.holders = append(w.holders, &holder{keeper: lease.NewKeeper(w.store, "lease", fmt.Sprintf("h%d", i), ttl)})
	}
	return w
}

func (w *simulation) step() {
	w.now = w.now.Add(step)
	if w.rng.IntN(100) == 0 {
		w.storeDown = !w.storeDown
		w.store.Land()
	}
	for _, h := range w.holders {
		w.stepHolder(h)
	}
}

// stepHolder performs what one holder does in one step.
func (w *simulation) stepHolder(h *holder) {
	if w.now.Before(h.pausedUntil) {
		return
	}
	if h.pausedBeforeSend { // resumes just before sending
		h.pausedBeforeSend = false
		w.pendingLate--
		w.lateSent++
		w.send()
		return
	}
	if h.pausedBeforeCheck { // resumes before the last check
		h.pausedBeforeCheck = false
		w.checkAndSend(h)
		return
	}
	if h.account.TermValid(w.now) && w.rng.IntN(100) == 0 { // planned shutdown
		h.account = budget.Account{}
		_ = h.keeper.Release(context.Background())
		h.renewedAt = w.now.Add(ttl)
		return
	}
	if w.now.Sub(h.renewedAt) >= renewInterval {
		h.renewedAt = w.now
		if term, err := h.keeper.Renew(context.Background(), func() time.Time { return w.now }); err == nil {
			h.account = h.account.WithTerm(term, limit, w.now)
		}
	}
	for {
		next, ok := h.account.Spend(w.now, cost)
		h.account = next
		if !ok {
			return
		}
		if w.maybePause(h, 30) {
			h.pausedBeforeCheck = true
			return
		}
		w.checkAndSend(h)
	}
}

// checkAndSend checks the term a last time and sends the measurement, unless the holder is paused
// in between.
func (w *simulation) checkAndSend(h *holder) {
	if !h.account.TermValid(w.now) {
		return
	}
	if w.pendingLate < 1 && w.maybePause(h, 60) {
		w.pendingLate++
		h.pausedBeforeSend = true
		return
	}
	w.send()
}

// maybePause pauses the holder for up to 200 steps with a probability of 1/oneIn, and reports
// whether it did.
func (w *simulation) maybePause(h *holder, oneIn int) bool {
	if w.rng.IntN(oneIn) != 0 {
		return false
	}
	h.pausedUntil = w.now.Add(time.Duration(w.rng.IntN(200)+1) * step)
	return true
}

func (w *simulation) send() {
	w.spent = append(w.spent, measurement{at: w.now, cost: cost})
}

// check fails the test if a window that begins and ends with a measurement exceeds the limit.
func (w *simulation) check(seed uint64) {
	for i := range w.spent {
		sum := time.Duration(0)
		for j := i; j < len(w.spent); j++ {
			sum += w.spent[j].cost
			window := w.spent[j].at.Sub(w.spent[i].at)
			if allowed := limit.Allowed(window); sum > allowed {
				w.t.Fatalf("seed %d: spent %v in %v from %v, allowed %v", seed, sum, window, w.spent[i].at, allowed)
			}
		}
	}
}

// TestNoSpendingAfterTermExpires checks that a holder that cannot renew its lease, for example
// because the store is down, spends nothing once the term has ended.
func TestNoSpendingAfterTermExpires(t *testing.T) {
	now := time.Unix(1e9, 0)
	s := fakestore.New(fakestore.Options{Clock: func() time.Time { return now }})
	k := lease.NewKeeper(s, "lease", "h", ttl)
	term, err := k.Renew(context.Background(), func() time.Time { return now })
	assert.NilError(t, err)
	a := budget.Account{}.WithTerm(term, limit, now)
	_, ok := a.Spend(now.Add(ttl/2), cost)
	assert.Assert(t, ok)
	_, ok = a.Spend(now.Add(ttl), cost)
	assert.Assert(t, !ok)
	// A measurement that was charged before a pause is not sent after the term has ended.
	assert.Assert(t, a.TermValid(now) && !a.TermValid(now.Add(ttl)))
}
