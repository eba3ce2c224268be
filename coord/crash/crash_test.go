package crash_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/crash"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var baseTime = time.Unix(1000, 0)

// at returns the time ms milliseconds after baseTime.
func at(ms int) time.Time { return baseTime.Add(time.Duration(ms) * time.Millisecond) }

// crashOf returns a crash of an endpoint, observed ms milliseconds after baseTime.
func crashOf(endpoint string, ms int) crash.Event {
	return crash.Event{Endpoint: endpoint, Start: 1, At: at(ms), SeenBy: "vm-1"}
}

// onTrial returns the event with the request on trial; alone means that the endpoint was processing
// no other request.
func onTrial(e crash.Event, alone bool) crash.Event {
	e.Trial, e.Alone = true, alone
	return e
}

// TestDecide checks the decision for each kind of history.
func TestDecide(t *testing.T) {
	oneCrash := crash.History{}.WithCrash(crashOf("a", 0))
	twoCrashes := oneCrash.WithCrash(crashOf("b", 10))
	fiveCrashes := twoCrashes.WithCrash(crashOf("c", 11)).WithCrash(crashOf("d", 12)).WithCrash(crashOf("e", 13))
	oneOnTrial := twoCrashes.WithCrash(onTrial(crashOf("c", 20), true))
	refused := oneOnTrial.WithCrash(onTrial(crashOf("d", 20), true))
	oneShared := oneOnTrial.WithCrash(onTrial(crashOf("d", 20), false))
	refusalEnd := at(20).Add(crash.RefusalPeriod)
	for _, c := range []struct {
		name    string
		history crash.History
		now     time.Time
		want    crash.Action
	}{
		{"no crash", crash.History{}, at(30), crash.Send},
		{"one crash may be coincidence", oneCrash, at(30), crash.Send},
		{"the same crash, observed by another balancer", oneCrash.WithCrash(crash.Event{Endpoint: "a", Start: 1, At: at(1), SeenBy: "vm-2"}), at(30), crash.Send},
		{"another incarnation of the same endpoint", oneCrash.WithCrash(crash.Event{Endpoint: "a", Start: 2, At: at(1)}), at(30), crash.SendOnTrial},
		{"two crashes", twoCrashes, at(30), crash.SendOnTrial},
		{"many crashes at once: a rack may have failed", fiveCrashes, at(30), crash.SendOnTrial},
		{"one crash on trial may be coincidence", oneOnTrial, at(30), crash.SendOnTrial},
		{"two crashes on trial, without other requests", refused, at(30), crash.Refuse},
		{"one of them with other requests on the endpoint", oneShared, at(30), crash.SendOnTrial},
		{"a third crash on trial", oneShared.WithCrash(onTrial(crashOf("e", 20), false)), at(30), crash.Refuse},
		{"completed since", refused.WithCompletion(at(25)), at(30), crash.Send},
		{"completed before the last crash", twoCrashes.WithCompletion(at(5)), at(30), crash.Send},
		{"crashes before a completion, reported after it", crash.History{}.WithCompletion(at(25)).WithCrash(crashOf("a", 1)).WithCrash(crashOf("b", 2)), at(30), crash.Send},
		{"released", refused.WithRelease(at(25)), at(30), crash.SendOnTrial},
		{"one more crash on trial since the release", refused.WithRelease(at(25)).WithCrash(onTrial(crashOf("e", 28), true)), at(30), crash.SendOnTrial},
		{"two more crashes on trial since the release", refused.WithRelease(at(25)).WithCrash(onTrial(crashOf("e", 28), true)).WithCrash(onTrial(crashOf("f", 29), true)), at(30), crash.Refuse},
		{"refusal ordered", crash.History{}.WithRefusalOrder(at(25)), at(30), crash.Refuse},
		{"refusal ordered, then released", crash.History{}.WithRefusalOrder(at(25)).WithRelease(at(26)), at(30), crash.Send},
		{"refusal ordered, then completed elsewhere", crash.History{}.WithRefusalOrder(at(25)).WithCompletion(at(26)), at(30), crash.Refuse},
		{"refusal ordered long ago", crash.History{}.WithRefusalOrder(at(25)), refusalEnd.Add(24 * time.Hour), crash.Refuse},
		{"just before the refusal ends", refused, refusalEnd.Add(-time.Millisecond), crash.Refuse},
		{"after the refusal", refused, refusalEnd, crash.SendOnTrial},
	} {
		assert.Equal(t, c.history.Decide(c.now).Action, c.want, c.name)
	}
	assert.Equal(t, refused.Decide(at(30)).Until, refusalEnd)
}

// TestAnyQueryHistory: an any-query history has no effect until endpoints crashed under two
// queries.
func TestAnyQueryHistory(t *testing.T) {
	underQuery := func(e crash.Event, query crash.Fingerprint) crash.Event {
		e.RequestFingerprint = query
		return e
	}
	oneQuery := crash.NewAnyQueryHistory().WithCrash(underQuery(crashOf("a", 0), "q1")).WithCrash(underQuery(crashOf("b", 10), "q1")).WithCrash(underQuery(onTrial(crashOf("c", 20), true), "q1")).WithCrash(underQuery(onTrial(crashOf("e", 20), true), "q1"))
	assert.Equal(t, oneQuery.Decide(at(30)).Action, crash.Send)
	twoQueries := oneQuery.WithCrash(underQuery(crashOf("d", 30), "q2"))
	assert.Equal(t, twoQueries.Decide(at(30)).Action, crash.Refuse)
	assert.Equal(t, twoQueries.WithCompletion(at(40)).Decide(at(50)).Action, crash.Send, "one of the queries completed")
	outsideTrials := crash.NewAnyQueryHistory().WithCrash(underQuery(crashOf("a", 0), "q1")).WithCrash(underQuery(crashOf("b", 10), "q2"))
	assert.Equal(t, outsideTrials.Decide(at(30)).Action, crash.SendOnTrial)
}

// TestExpired: a history expires after the refusal period, and after an hour more if the request
// was refused.
func TestExpired(t *testing.T) {
	oneCrash := crash.History{}.WithCrash(crashOf("a", 0))
	assert.Assert(t, !oneCrash.Expired(at(0).Add(crash.RefusalPeriod)))
	assert.Assert(t, oneCrash.Expired(at(1).Add(crash.RefusalPeriod)))
	refused := oneCrash.WithCrash(crashOf("b", 0)).WithCrash(onTrial(crashOf("c", 0), true)).WithCrash(onTrial(crashOf("d", 0), true))
	assert.Assert(t, !refused.Expired(at(1).Add(crash.RefusalPeriod)))
	assert.Assert(t, refused.Expired(at(1).Add(crash.RefusalPeriod+time.Hour)))
}

// TestDecisionDoesNotDependOnOrder: processes that received the same events in different orders,
// some of them twice, reach the same decision.
func TestDecisionDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) func(crash.History) crash.History {
			when := at(rapid.IntRange(0, 50).Draw(t, "at"))
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				return func(h crash.History) crash.History { return h.WithCompletion(when) }
			}
			e := crash.Event{
				Endpoint: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "endpoint"), At: when, SeenBy: "vm-1",
				Trial: rapid.Bool().Draw(t, "trial"), Alone: rapid.Bool().Draw(t, "alone"),
			}
			return func(h crash.History) crash.History { return h.WithCrash(e) }
		}), 1, 8).Draw(t, "steps")
		seed := rapid.Uint64().Draw(t, "seed")
		decide := func(steps []func(crash.History) crash.History) crash.Action {
			var h crash.History
			for _, step := range steps {
				h = step(h)
			}
			return h.Decide(at(60)).Action
		}
		shuffled := append(slices.Clone(steps), steps[0])
		rand.New(rand.NewPCG(seed, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		assert.Equal(t, decide(shuffled), decide(steps))
	})
}

// TestEventsAreBounded: the number of events kept is bounded, and crashes on trial are not dropped.
func TestEventsAreBounded(t *testing.T) {
	h := crash.History{}.WithCrash(onTrial(crashOf("first", 0), true))
	for i := range 1000 {
		h = h.WithCrash(crash.Event{Endpoint: "a", Start: int64(i + 1), At: at(i)})
	}
	h = h.WithCrash(onTrial(crashOf("last", 2000), true))
	assert.Assert(t, len(h.Crashes()) <= 16)
	assert.Equal(t, h.Decide(at(2001)).Action, crash.Refuse)
}

// TestFingerprint checks which parts of a request change its fingerprints.
func TestFingerprint(t *testing.T) {
	request := crash.Request{Method: "GET", Host: "a.example", Path: "/x/1", Query: "y=2", Body: []byte("b"), Length: 1}
	assert.DeepEqual(t, request.Fingerprints(), crash.Fingerprints{Exact: "95b7935cb5b3f1edf74be7f95aced2af", AnyQuery: "5de82ba8843171748415a32a7e40139e"}) // must stay the same in all versions
	assert.Assert(t, request.Fingerprints().Exact.Valid() && request.Fingerprints().AnyQuery.Valid())
	for name, change := range map[string]func(*crash.Request){
		"method":         func(s *crash.Request) { s.Method = "POST" },
		"host":           func(s *crash.Request) { s.Host = "b.example" },
		"path":           func(s *crash.Request) { s.Path = "/x/2" },
		"query":          func(s *crash.Request) { s.Query = "y=3" },
		"body":           func(s *crash.Request) { s.Body = []byte("c") },
		"length":         func(s *crash.Request) { s.Length = -1 },
		"field boundary": func(s *crash.Request) { s.Host, s.Path = "a.example/", "x/1" },
	} {
		other := request
		change(&other)
		assert.Assert(t, other.Fingerprints().Exact != request.Fingerprints().Exact, name)
		assert.Equal(t, other.Fingerprints().AnyQuery == request.Fingerprints().AnyQuery, name == "query", name)
	}
	for _, text := range []string{"", "xyz", strings.ToUpper(string(request.Fingerprints().Exact)), string(request.Fingerprints().Exact) + "00"} {
		assert.Assert(t, !crash.Fingerprint(text).Valid(), text)
	}
}
