package limits_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// answer returns an answer to a request that was sent so many milliseconds after the start and
// took ten.
func answer(ms int, values ...string) limit.Answer {
	rate, said := limit.Parse(values)
	asked := began.Add(time.Duration(ms) * time.Millisecond)
	return limit.Answer{Said: said, Rate: rate, Asked: asked, Heard: asked.Add(10 * time.Millisecond)}
}

// TestWhatOnCallSees of the limit of an endpoint: when it is named, rather different, lifted and
// named again, and that a header is no limit.
func TestWhatOnCallSees(t *testing.T) {
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out, Level: hclog.Info, DisableTime: true})
	registry := metrics.NewRegistry()
	k := limits.New(limits.Config{Log: log, Metrics: registry})
	e := limits.Endpoint{ID: "i-1", Start: 7, Service: "archives", Zone: "medina"}
	k.Answered(e, answer(0))
	k.Answered(e, answer(100, "2.5"))
	k.Answered(e, answer(200, "2.4"))
	k.Answered(e, answer(300, "1"))
	k.Probed(e, answer(400)) // its answers to probes have named none
	k.Answered(e, answer(500))
	k.Answered(e, answer(600, "many"))
	k.Answered(e, answer(700, "many"))
	k.Probed(e, answer(800, "3"))
	k.Probed(e, answer(900))
	k.Answered(limits.Endpoint{ID: "i-1", Start: 8, Service: "archives", Zone: "medina"}, answer(1000))
	golden.Assert(t, out.String(), "on-call.golden")
	assert.Equal(t, metrics.GetOrRegisterCounter("limits_unread", registry).Count(), int64(2))
	assert.Equal(t, strings.Count(out.String(), "not read"), 1)
}
