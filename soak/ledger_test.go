package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// planted is an endpoint that has run requests.
func planted(service string, requests ...string) *endpoint {
	e := &endpoint{server: platformtest.NewEndpoint("i-1", platformtest.Behavior{}), service: service}
	for _, request := range requests {
		method, path, _ := strings.Cut(request, " ")
		id, path, _ := strings.Cut(path, " ")
		r, err := http.NewRequest(method, "http://x"+path, http.NoBody)
		if err != nil {
			panic(err)
		}
		r.RequestURI = path
		r.Header.Set(dialect.RequestID, id)
		e.server.ServeHTTP(discard{}, r)
	}
	return e
}

// discard is an answer that nobody reads.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

func sent(l *ledger, id, method, path string, repeatable bool, status int) {
	r := &sentRequest{id: id, method: method, path: path, repeatable: repeatable, balancer: "vm-0", at: start}
	l.begin(r)
	l.end(r, status, start.Add(time.Millisecond))
}

func promises(l *ledger) string {
	var names []string
	for _, v := range l.violations {
		names = append(names, string(v.Promise))
	}
	return strings.Join(names, "; ")
}

// TestPlantedFaultsAreCaught: each check fails where its promise is broken, and
// only there.
func TestPlantedFaultsAreCaught(t *testing.T) {
	cases := []struct {
		name string
		runs *endpoint
		want string
	}{
		{"all is well", planted(serviceBeta, "POST a /file/1"), ""},
		{"ran twice", planted(serviceBeta, "POST a /file/1", "POST a /file/1"), string(RunsOnce)},
		{"a read may run twice", planted(serviceAlpha, "GET r /read/1", "GET r /read/1"), ""},
		{"refused and ran", planted(serviceBeta, "POST refused /file/2"), string(NotRunIsTrue)},
		{"counts as not read and ran", planted(serviceBeta, "GET unread /file/3"), string(NotRunIsTrue)},
		{"nobody sent it", planted(serviceBeta, "POST ghost /file/1"), string(NothingElse)},
		{"another method", planted(serviceBeta, "PUT a /file/1"), string(NothingElse)},
		{"another path", planted(serviceBeta, "POST a /file/9"), string(NothingElse)},
		{"another service", planted(serviceAlpha, "POST a /file/1"), string(RightService)},
	}
	for _, c := range cases {
		l := newLedger()
		sent(l, "a", http.MethodPost, "/file/1", false, 200)
		sent(l, "r", http.MethodGet, "/read/1", true, 200)
		sent(l, "refused", http.MethodPost, "/file/2", false, http.StatusServiceUnavailable)
		unread := &sentRequest{id: "unread", method: http.MethodGet, path: "/file/3", balancer: "vm-0", at: start}
		l.begin(unread)
		l.endUnread(unread, true)
		l.checkRuns([]*endpoint{c.runs})
		assert.Equal(t, promises(l), c.want, c.name)
	}
}

// TestPlantedAnswersAreCaught: an answer that is another's, cut or changed.
func TestPlantedAnswersAreCaught(t *testing.T) {
	const whole = "GET /read/1 payload from i-1"
	cases := []struct {
		name, id, body, signature, want string
	}{
		{"its own", "a", whole, platformtest.Signature("a", whole), ""},
		{"another's name", "b", whole, platformtest.Signature("a", whole), string(OwnAnswer)},
		{"another's body", "a", "GET /read/2 payload from i-1", "", string(OwnAnswer)},
		{"cut", "a", whole[:8], "", string(OwnAnswer)},
		{"changed at its end", "a", whole + "x", platformtest.Signature("a", whole), string(OwnAnswer)},
	}
	for _, c := range cases {
		l := newLedger()
		r := &sentRequest{id: "a", method: http.MethodGet, path: "/read/1"}
		h := http.Header{dialect.RequestID: {c.id}, dialect.Signature: {c.signature}}
		l.checkAnswer(r, &http.Response{Header: h}, c.body, "payload")
		assert.Equal(t, promises(l), c.want, c.name)
	}
}

// TestPlantedDelaysAreCaught: promises with a limit bind a balancer that was
// left alone, and no other.
func TestPlantedDelaysAreCaught(t *testing.T) {
	second := func(n float64) time.Time { return time.Now().Add(time.Duration(n * float64(time.Second))) }
	cases := []struct {
		name    string
		left    time.Time
		path    string
		service string
		sentAt  time.Time
		ended   time.Time
		quiet   bool
		want    string
	}{
		{"all is well", time.Time{}, "/read/1", serviceAlpha, second(-1), second(0), true, ""},
		{"work soon after it left", second(-1), "/read/1", serviceAlpha, second(0), second(0), true, ""},
		{"work long after it left", second(-5), "/read/1", serviceAlpha, second(0), second(0), true, string(NoLateWork)},
		{"the same by a disturbed balancer", second(-5), "/read/1", serviceAlpha, second(0), second(0), false, ""},
		{"the new configuration", time.Time{}, "/move/1", serviceBeta, second(-1), second(0), true, ""},
		{"an older configuration", time.Time{}, "/move/1", serviceAlpha, second(-1), second(0), true, string(InForce)},
		{"the same by a disturbed balancer ", time.Time{}, "/move/1", serviceAlpha, second(-1), second(0), false, ""},
		{"a late answer", time.Time{}, "/read/1", serviceAlpha, second(-5), second(0), true, string(FinalInTime)},
	}
	for _, c := range cases {
		l, cal := newLedger(), &calendar{}
		cal.publish(version{1, serviceAlpha, second(-60)})
		cal.publish(version{2, serviceBeta, second(-10)})
		if !c.quiet {
			cal.disturb("vm-0", second(-20), second(1))
		}
		r := &sentRequest{id: "a", method: http.MethodGet, path: c.path, repeatable: true, balancer: "vm-0", at: c.sentAt}
		l.begin(r)
		l.end(r, 200, c.ended)
		e := planted(c.service, "GET a "+c.path)
		e.left = c.left
		l.checkTimed(cal, []*endpoint{e})
		assert.Equal(t, promises(l), c.want, c.name)
	}
}

// TestAddressesAreGivenOnce: two parts of a soak never get the same address.
func TestAddressesAreGivenOnce(t *testing.T) {
	free := &addresses{given: map[int]bool{}}
	seen := map[string]bool{}
	for range 200 {
		addr, err := free.next()
		assert.NilError(t, err)
		assert.Assert(t, !seen[addr], addr)
		seen[addr] = true
	}
}

// TestProcessThatEndsIsNotWaitedFor: a balancer that cannot start ends the soak
// with an error that names its log.
func TestProcessThatEndsIsNotWaitedFor(t *testing.T) {
	_, err := Run(context.Background(), Config{
		Seed: 1, For: time.Second, Balancers: 1,
		Command: func(string, string) *exec.Cmd { return exec.Command(os.Args[0], "-test.run", "^$") },
	})
	assert.ErrorContains(t, err, "vm-0 ended before it was ready")
}

// TestPlantedWorkInEmptiedZonesIsCaught: only long after the zone was emptied, before it is
// taken back, and by balancers that were left alone.
func TestPlantedWorkInEmptiedZonesIsCaught(t *testing.T) {
	second := func(n float64) time.Time { return time.Now().Add(time.Duration(n * float64(time.Second))) }
	for _, c := range []struct {
		name    string
		emptied emptying
		quiet   bool
		want    string
	}{
		{"soon after", emptying{"zone-1", second(-1), second(5)}, true, ""},
		{"long after", emptying{"zone-1", second(-5), second(5)}, true, string(NothingToEmptied)},
		{"taken back by then", emptying{"zone-1", second(-9), second(-1)}, true, ""},
		{"another zone", emptying{"zone-0", second(-5), second(5)}, true, ""},
		{"by a disturbed balancer", emptying{"zone-1", second(-5), second(5)}, false, ""},
	} {
		l, cal := newLedger(), &calendar{}
		cal.empty(c.emptied)
		if !c.quiet {
			cal.disturb("vm-0", second(-20), second(1))
		}
		r := &sentRequest{id: "a", method: http.MethodGet, path: "/read/1", repeatable: true, balancer: "vm-0", at: second(0)}
		l.begin(r)
		l.end(r, 200, second(0))
		e := planted(serviceAlpha, "GET a /read/1")
		e.zone = "zone-1"
		l.checkTimed(cal, []*endpoint{e})
		assert.Equal(t, promises(l), c.want, c.name)
	}
}

// TestPlantedCrowdsAtColdEndpointsAreCaught: more than the limit, sent and arrived in a second in which the
// endpoint warmed up, whatever else was disturbed.
func TestPlantedCrowdsAtColdEndpointsAreCaught(t *testing.T) {
	const limit = 11 // 2.5 x 1.5 + 8, rounded down
	for _, c := range []struct {
		name      string
		arrivals  int
		cold      time.Duration // how long ago it turned cold
		underWay  time.Duration // from the sending to the arrival of the first one
		rate      float64
		disturbed bool
		want      string
	}{
		{"as many as allowed", limit, time.Second, 0, 2.5, false, ""},
		{"one more", limit + 1, time.Second, 0, 2.5, false, string(FewToCold)},
		{"one more, beside a disturbance", limit + 1, time.Second, 0, 2.5, true, string(FewToCold)},
		{"one more, sent in the same second", limit + 1, time.Second, 900 * time.Millisecond, 2.5, false, string(FewToCold)},
		{"one more, sent earlier", limit + 1, time.Second, 1100 * time.Millisecond, 2.5, false, ""},
		{"two more, one of them sent earlier", limit + 2, time.Second, 1100 * time.Millisecond, 2.5, false, string(FewToCold)},
		{"one more, sent before it turned cold", limit + 1, time.Millisecond, 100 * time.Millisecond, 2.5, false, string(FewToCold)},
		{"one more, warm by then", limit + 1, time.Hour, 0, 2.5, false, ""},
		{"as many as allowed at twice the rate", limit + 4, time.Second, 0, 5, false, ""},
		{"more at twice the rate", limit + 5, time.Second, 0, 5, false, string(FewToCold)},
	} {
		proxy, began := &Proxy{}, time.Now()
		requests := make([]string, c.arrivals)
		for i := range requests {
			id := fmt.Sprint("r-", i)
			requests[i] = "GET " + id + " /read/1"
			proxy.seen.note([]string{id}, began)
		}
		proxy.seen.note([]string{"r-0"}, began.Add(time.Hour)) // sent again later
		proxy.seen.at["r-0"][0] = began.Add(-c.underWay)
		e := planted(serviceAlpha, requests...)
		e.proxy = proxy
		l, cal := newLedger(), &calendar{}
		from := began.Add(-c.cold)
		cal.cool(cooling{endpoint: e, from: from, to: from.Add(2 * coldFor), rate: c.rate})
		if c.disturbed {
			cal.disturb("", from, time.Now())
		}
		l.checkCold(cal)
		assert.Equal(t, promises(l), c.want, c.name)
	}
}

// TestHeadsAreSeenWhereverBytesAreCut guards against requests that a proxy misses, or sees twice.
func TestHeadsAreSeenWhereverBytesAreCut(t *testing.T) {
	const text = "GET /a HTTP/1.1\r\nRequest-Id: a\r\n\r\n" + "POST /b HTTP/1.1\r\nRequest-Id: b\r\nContent-Length: 2\r\n\r\npp"
	for cut := range len(text) {
		var h headScanner
		ids := append(h.scan([]byte(text[:cut])), h.scan([]byte(text[cut:]))...)
		assert.DeepEqual(t, append(ids, h.scan([]byte(" "))...), []string{"a", "b"})
	}
}

// TestPlantedFloodsOfLimitedEndpointsAreCaught: too many requests in a window, of balancers that
// nothing disturbed.
func TestPlantedFloodsOfLimitedEndpointsAreCaught(t *testing.T) {
	for name, c := range map[string]struct {
		requests  int
		perSecond float64
		disturbed bool
		told      bool // an answer with the limit was passed on
		want      int
	}{
		"within":                   {requests: 9, perSecond: 1, told: true, want: 0},
		"above":                    {requests: 11, perSecond: 1, told: true, want: 1},
		"none allowed, a few sent": {requests: 4, perSecond: 0, told: true, want: 0},
		"none allowed, more sent":  {requests: 5, perSecond: 0, told: true, want: 1},
		"disturbed":                {requests: 11, perSecond: 1, disturbed: true, told: true, want: 0},
		"nobody was told":          {requests: 20, perSecond: 1, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, cal := newLedger(), &calendar{}
			var ids []string
			for i := range c.requests {
				ids = append(ids, fmt.Sprintf("GET r-%d %s", i, readPrefix))
				l.begin(&sentRequest{id: fmt.Sprintf("r-%d", i), method: http.MethodGet, path: readPrefix, repeatable: true, balancer: "vm-0", at: time.Now()})
			}
			if c.told {
				ids = append(ids, "GET first "+readPrefix)
				first := &sentRequest{id: "first", method: http.MethodGet, path: readPrefix, repeatable: true, balancer: "vm-0", at: time.Now()}
				l.begin(first)
				l.end(first, http.StatusOK, time.Now().Add(-time.Second))
			}
			e := planted(serviceAlpha, ids...)
			cal.limit(limiting{endpoint: e, perSecond: c.perSecond, from: time.Now().Add(-2 * time.Second), to: time.Now().Add(time.Second)})
			if c.disturbed {
				cal.disturb("vm-0", time.Now().Add(-time.Second), time.Now())
			}
			l.checkLimits(cal)
			assert.Equal(t, len(l.violations), c.want, "%v", l.violations)
		})
	}
}

// TestPlantedWordsThatDoNotHoldAreCaught: requests to endpoints that had said that they leave, or that
// they want none, of balancers that nothing disturbed.
func TestPlantedWordsThatDoNotHoldAreCaught(t *testing.T) {
	for name, c := range map[string]struct {
		behavior  platformtest.Behavior
		after     time.Duration // of the requests, since the word
		disturbed bool
		want      int
	}{
		"leaves, soon after":   {behavior: platformtest.Behavior{Leaving: true}, after: leaveLimit - time.Second},
		"leaves, long after":   {behavior: platformtest.Behavior{Leaving: true}, after: leaveLimit + time.Second, want: 4},
		"leaves, disturbed":    {behavior: platformtest.Behavior{Leaving: true}, after: leaveLimit + time.Second, disturbed: true},
		"backs off":            {behavior: platformtest.Behavior{Refuse: true, RetryAfter: "5"}, after: time.Second, want: 1},
		"backs off, over":      {behavior: platformtest.Behavior{Refuse: true, RetryAfter: "0.9"}, after: time.Second},
		"backs off, no time":   {behavior: platformtest.Behavior{Refuse: true, RetryAfter: "soon"}, after: time.Second},
		"backs off, disturbed": {behavior: platformtest.Behavior{Refuse: true, RetryAfter: "5"}, after: time.Second, disturbed: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			l, cal := newLedger(), &calendar{}
			e := &endpoint{server: platformtest.NewEndpoint("i-1", c.behavior), service: serviceAlpha}
			began := time.Now()
			send := func(id string) {
				l.begin(&sentRequest{id: id, method: http.MethodGet, path: readPrefix, repeatable: true, balancer: "vm-0", at: time.Now()})
				r := httptest.NewRequest(http.MethodGet, readPrefix, nil)
				r.Header.Set("Request-Id", id)
				e.server.ServeHTTP(httptest.NewRecorder(), r)
			}
			send("first")
			time.Sleep(c.after)
			for i := range 4 {
				send(fmt.Sprint("r-", i))
			}
			if c.disturbed {
				cal.disturb("vm-0", began, time.Now())
			}
			l.checkWords(cal, []*endpoint{e})
			assert.Equal(t, len(l.violations), c.want, "%s: %v", name, l.violations)
		})
	}
}
