package limits_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// answer waits 100 ms and returns an answer, with the given header values, to a request that took
// 10 ms.
func answer(values ...string) limit.Answer {
	time.Sleep(100 * time.Millisecond)
	rate, said := limit.Parse(values)
	now := time.Now()
	return limit.Answer{Said: said, Rate: rate, SentAt: now.Add(-10 * time.Millisecond), ReceivedAt: now}
}

// TestLimitLog checks the log lines for a limit that is named, changed significantly, lifted and
// named again, and for an unreadable header.
func TestLimitLog(t *testing.T) { synctest.Test(t, testLimitLog) }

func testLimitLog(t *testing.T) {
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out, Level: hclog.Info, DisableTime: true})
	registry := metrics.NewRegistry()
	k := limits.New(limits.Config{Log: log, Metrics: registry})
	e := limits.Endpoint{ID: "i-1", Start: 7, Service: "archives", Zone: "medina"}
	k.ObserveAnswer(e, answer())
	k.ObserveAnswer(e, answer("2.5"))
	k.ObserveAnswer(e, answer("2.4"))
	k.ObserveAnswer(e, answer("1"))
	k.ObserveProbe(e, answer()) // no answer to a probe has named a limit yet
	k.ObserveAnswer(e, answer())
	k.ObserveAnswer(e, answer("many"))
	k.ObserveAnswer(e, answer("many"))
	k.ObserveProbe(e, answer("3"))
	k.ObserveProbe(e, answer())
	k.ObserveAnswer(limits.Endpoint{ID: "i-1", Start: 8, Service: "archives", Zone: "medina"}, answer())
	synctest.Wait()
	golden.Assert(t, out.String(), "on-call.golden")
	assert.Equal(t, metrics.GetOrRegisterCounter("limits_unread", registry).Count(), int64(2))
	assert.Equal(t, strings.Count(out.String(), "unreadable"), 1)
}
