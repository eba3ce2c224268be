package systemtest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/audit"
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

// told returns the history as the audit wants it. Keys begin with the path.
func (h *history) told() []audit.Told {
	var out []audit.Told
	for key, a := range h.answers {
		path := key[:strings.LastIndexByte(key, '-')]
		out = append(out, audit.Told{
			Key: key, Once: path == "/petitions", Failed: a.Err != nil, Status: a.Status, Verdict: a.Verdict,
			Reason: a.Reason, Whole: a.Whole, Body: a.Body, Want: wantBody(key, path, "stamped"),
		})
	}
	return out
}

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
	found := audit.Answers(c.history.told(), c.f.runs())
	assert.Equal(c.t, len(found), 0, "%v", found)
}

// checkNoneRefused ends the load, and expects besides that every request that was
// answered ran.
func (c *callers) checkNoneRefused() {
	c.t.Helper()
	c.cancel()
	c.done.Wait()
	for key, a := range c.history.answers {
		if a.Err == nil {
			assert.Equal(c.t, a.Verdict, "ran", "%s: %+v", key, a)
		}
	}
	c.check()
}
