package systemtest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/load"
	"github.com/lotuswing/lotuswing/standin"
	"gotest.tools/v3/assert"
)

// history is what callers were told, to be compared with what ran.
type history struct {
	mu      sync.Mutex
	answers map[string]load.Answer
}

func (h *history) add(key string, a load.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers[key] = a
}

func (h *history) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.answers)
}

// violations lists every answer that the endpoints' own counts contradict.
func violations(answers map[string]load.Answer, runs map[string][]standin.Run, once func(path string) bool) []string {
	var out []string
	for key, list := range runs {
		if once(list[0].Path) && len(list) > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", key, len(list)))
		}
	}
	for key, a := range answers {
		list := runs[key]
		switch {
		case a.Err == nil && a.Verdict == verdict.NotRun.String() && len(list) > 0:
			out = append(out, fmt.Sprintf("%s was told not-run (%s) and ran", key, a.Reason))
		case a.Err == nil && a.Verdict == verdict.Ran.String() && len(list) == 0:
			out = append(out, fmt.Sprintf("%s was told ran and did not", key))
		case a.Whole && a.Status == 200 && a.Body != wantBody(key, list[0].Path, "stamped"):
			out = append(out, fmt.Sprintf("%s got %q", key, a.Body))
		}
	}
	return out
}

func isFiling(path string) bool { return path == "/petitions" }

func (f *fleet) runs() map[string][]standin.Run {
	out := map[string][]standin.Run{}
	for _, e := range f.endpoints {
		for _, r := range e.Runs() {
			out[r.Key] = append(out[r.Key], r)
		}
	}
	return out
}

// callers sends filings and archive queries through the balancers until
// stopped.
type callers struct {
	t       *testing.T
	f       *fleet
	history *history
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

func (f *fleet) startCallers(rate float64, balancers ...*balancerProcess) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{t: f.t, f: f, history: &history{answers: map[string]load.Answer{}}, cancel: cancel}
	var targets []string
	for _, b := range balancers {
		targets = append(targets, b.url())
	}
	for _, path := range []string{"/petitions", "/archives/old"} {
		c.done.Go(func() {
			_, _ = load.Run(ctx, load.Plan{
				Targets: targets, Host: "medina.bennani", Method: "POST", Path: path, Body: "stamped",
				Rate: rate, For: time.Hour, Name: path, Check: c.history.add,
			})
		})
	}
	f.t.Cleanup(cancel)
	return c
}

// more waits until that many further answers came.
func (c *callers) more(n int) {
	c.t.Helper()
	want := c.history.len() + n
	eventually(c.t, fmt.Sprintf("%d answers", want), func() bool { return c.history.len() >= want })
}

// check ends the load and compares all answers with what ran.
func (c *callers) check() {
	c.t.Helper()
	c.cancel()
	c.done.Wait()
	ran, refused, open := 0, 0, 0
	for _, a := range c.history.answers {
		switch {
		case a.Err != nil:
			open++
		case a.Verdict == "ran":
			ran++
		case a.Verdict == "not-run":
			refused++
		default:
			open++
		}
	}
	c.t.Logf("%d answers: %d ran, %d not run, %d open", c.history.len(), ran, refused, open)
	assert.Assert(c.t, ran > c.history.len()/2, "too few ran to prove anything")
	found := violations(c.history.answers, c.f.runs(), isFiling)
	assert.Equal(c.t, len(found), 0, "%v", found)
}

// TestViolationsAreCounted shows that the check of histories can fail, for
// each kind of violation.
func TestViolationsAreCounted(t *testing.T) {
	run := standin.Run{Key: "k", Path: "/petitions"}
	whole := load.Answer{Status: 200, Verdict: "ran", Whole: true, Body: wantBody("k", "/petitions", "stamped")}
	cases := map[string]struct {
		answer load.Answer
		runs   []standin.Run
		want   int
	}{
		"as it should be":      {whole, []standin.Run{run}, 0},
		"ran twice":            {whole, []standin.Run{run, run}, 1},
		"told not-run and ran": {load.Answer{Verdict: "not-run"}, []standin.Run{run}, 1},
		"told ran and did not": {load.Answer{Verdict: "ran"}, nil, 1},
		"another's answer":     {load.Answer{Status: 200, Verdict: "ran", Whole: true, Body: wantBody("other", "/petitions", "stamped")}, []standin.Run{run}, 1},
		"a short answer":       {load.Answer{Status: 200, Verdict: "ran", Whole: true, Body: "key=k"}, []standin.Run{run}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runs := map[string][]standin.Run{}
			if c.runs != nil {
				runs["k"] = c.runs
			}
			assert.Equal(t, len(violations(map[string]load.Answer{"k": c.answer}, runs, isFiling)), c.want)
		})
	}
}
