package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/quarantine"
	"gotest.tools/v3/assert"
)

// propagationTime is the time within which all balancers must know of the third crash.
const propagationTime = 3 * time.Second

// attack is a request that crashes every endpoint that processes it, and that its caller sends
// repeatedly.
type attack struct {
	harness    *harness
	request    quarantine.Request
	attempts   int           // maximum number that a balancer makes for one call
	processing time.Duration // time from the sending until the endpoint crashes

	mu           sync.Mutex
	lastEndpoint int // number of the endpoint to which the request was sent last
	crashedAt    []time.Time
	sentAt       []time.Time
}

// call sends the request to a balancer, which makes up to a.attempts attempts.
func (a *attack) call(k *quarantine.Tracker) { a.callWithRequest(k, a.request) }

// callWithRequest is call with another request.
func (a *attack) callWithRequest(k *quarantine.Tracker, q quarantine.Request) {
	for range a.attempts {
		admission, refused := k.Admit(a.harness.ctx, q)
		if refused != nil {
			return
		}
		number := a.recordSend()
		time.Sleep(a.processing)
		endpoint := fmt.Sprintf("e%d", number)
		a.harness.stopEndpoint(endpoint)
		a.recordCrash()
		probed := k.CheckEndpoint(quarantine.Attempt{Request: q, Endpoint: endpoint, Start: 1, Addr: endpoint, Trial: admission.Trial, Alone: number%2 == 0})
		if admission.Trial {
			return
		}
		if admission.Suspected {
			<-probed
		}
	}
}

// recordSend records that the request is sent to another endpoint and returns its number.
func (a *attack) recordSend() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentAt = append(a.sentAt, time.Now())
	a.lastEndpoint++
	return a.lastEndpoint
}

// recordCrash records that an endpoint has crashed.
func (a *attack) recordCrash() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crashedAt = append(a.crashedAt, time.Now())
}

// countCrashes returns the number of crashed endpoints, and how many times the request was sent
// later than propagationTime after the third crash.
func (a *attack) countCrashes() (crashes, late int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.crashedAt) < 3 {
		return len(a.crashedAt), 0
	}
	for _, at := range a.sentAt {
		if at.After(a.crashedAt[2].Add(propagationTime)) {
			late++
		}
	}
	return len(a.crashedAt), late
}

// TestFleetStopsACrashingRequest runs fleets of 3 to 7,257 balancers. The caller comes back at
// once, after seconds, with other queries, or on many connections at the same time. Once
// propagationTime has passed after the third crash, at most three sends are allowed.
func TestFleetStopsACrashingRequest(t *testing.T) {
	for _, size := range []int{3, 30, 300, 7257} {
		for name, sendRequests := range map[string]func(a *attack, rng *rand.Rand){
			"one after the other": func(a *attack, rng *rand.Rand) {
				for range 60 {
					a.call(a.harness.trackers[rng.IntN(size)])
					time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
				}
			},
			"after seconds": func(a *attack, rng *rand.Rand) {
				for range 20 {
					a.call(a.harness.trackers[rng.IntN(size)])
					time.Sleep(5 * time.Second)
				}
			},
			"each time with another query": func(a *attack, rng *rand.Rand) {
				for i := range 40 {
					q := a.request
					q.Fingerprints = crash.Request{Path: "a", Query: fmt.Sprint("page=", i/3)}.Fingerprints()
					a.callWithRequest(a.harness.trackers[rng.IntN(size)], q)
					time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
				}
			},
			"many at once": func(a *attack, rng *rand.Rand) {
				for range 10 {
					for range 12 {
						go a.call(a.harness.trackers[rng.IntN(size)])
					}
					time.Sleep(4 * time.Second)
				}
			},
		} {
			for _, attempts := range []int{1, 2} {
				if size > 1000 && (attempts == 1 || name == "one after the other") {
					continue // takes a minute more and shows nothing that smaller fleets do not show
				}
				t.Run(fmt.Sprintf("%d/%s/%d attempts", size, name, attempts), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						a := &attack{harness: newHarnessWithInterval(t, size, 10*time.Second), request: request("a"), attempts: attempts, processing: 60 * time.Millisecond}
						sendRequests(a, rand.New(rand.NewPCG(1, uint64(size))))
						time.Sleep(10 * time.Second)
						crashes, late := a.countCrashes()
						assert.Assert(t, crashes >= 3)
						assert.Assert(t, late <= 3, "%d sent late, %d crashes", late, crashes)
						t.Logf("%d crashes, %d sent late, %d calls of the store", crashes, late, a.harness.countStoreCalls())
					})
				})
			}
		}
	}
}

// TestSafeQueryBesideCrashingQuery: while endpoints have crashed under one query only, requests for
// the same path with another query are sent like any other, and their completion does not end the
// refusal.
func TestSafeQueryBesideCrashingQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3)
		with := func(query string) quarantine.Request {
			q := request("a")
			q.Fingerprints = crash.Request{Path: "a", Query: query}.Fingerprints()
			return q
		}
		a := &attack{harness: h, attempts: 2, processing: 60 * time.Millisecond}
		for range 4 {
			a.callWithRequest(h.trackers[0], with("bad"))
			time.Sleep(4 * time.Second)
		}
		_, refused := h.trackers[1].Admit(h.ctx, with("bad"))
		assert.Assert(t, refused != nil)
		admission, refused := h.trackers[1].Admit(h.ctx, with("sound"))
		assert.Assert(t, refused == nil && !admission.Trial)
		h.trackers[1].Completed(with("sound"))
		time.Sleep(time.Second)
		_, refused = h.trackers[2].Admit(h.ctx, with("bad"))
		assert.Assert(t, refused != nil, "the completion of another query ended the refusal")
	})
}

// TestIsolatedAndNewBalancersReadTheRecord: balancers that receive no notes, or start later, know a
// refusal from the store's record before they send the request.
func TestIsolatedAndNewBalancersReadTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 5)
		h.isolated[4] = true
		a := &attack{harness: h, request: request("a"), attempts: 2, processing: 60 * time.Millisecond}
		for i := range 6 {
			a.call(h.trackers[i%4])
		}
		before, _ := a.countCrashes()
		time.Sleep(2 * time.Second)
		a.call(h.trackers[4])
		a.call(h.startTracker())
		after, _ := a.countCrashes()
		assert.Equal(t, after, before)
	})
}
