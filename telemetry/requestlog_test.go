package telemetry_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/telemetry"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestLogNeverWaits: a log that nobody reads holds nobody up, and what is lost
// is counted and told when there is room again.
func TestLogNeverWaits(t *testing.T) {
	reader, writer := io.Pipe() // each write waits for a reader
	q := telemetry.NewQueue(writer)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 1000 {
		n, err := q.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, q.Dropped() > 0, "a megabyte does not fit")
	read := make(chan string)
	go func() {
		all, _ := io.ReadAll(reader)
		read <- string(all)
	}()
	q.Close(time.Minute)
	assert.NilError(t, writer.Close())
	text := <-read
	assert.Equal(t, int64(strings.Count(text, "x\n"))+q.Dropped(), int64(1000), "each line is written or counted")
	assert.Assert(t, strings.Contains(text, "lines dropped: lines="), "the loss is told")
}

// TestFailuresAreKeptFirst: above the rate, successful requests are left out
// before failed ones, whole and counted.
func TestFailuresAreKeptFirst(t *testing.T) {
	var out bytes.Buffer
	r := telemetry.NewRequestLogger(&out, 40)
	now := time.Unix(1000, 0)
	for i := range 60 {
		story := r.Begin("id")
		name := "good"
		if i%2 == 1 {
			name = "bad"
		}
		story.Line(name).Done()
		story.Line(name).Done()
		story.End(name == "bad", now)
	}
	good, bad := strings.Count(out.String(), ": good:"), strings.Count(out.String(), ": bad:")
	assert.Equal(t, good+bad, 40, "the rate bounds all lines")
	assert.Assert(t, bad > 2*good, "%d lines of failures, %d of successes", bad, good)
	assert.DeepEqual(t, r.Skipped(), telemetry.Skipped{Succeeded: 30 - int64(good)/2, Failed: 30 - int64(bad)/2})
	story := r.Begin("later")
	story.Line("good").Done()
	story.End(false, now.Add(time.Second))
	assert.Assert(t, strings.Contains(out.String(), "request=later"), "the rate is earned again")
}

// TestFlushedLinesAreWrittenAtOnce and only once.
func TestFlushedLinesAreWrittenAtOnce(t *testing.T) {
	var out bytes.Buffer
	story := telemetry.NewRequestLogger(&out, 10).Begin("a b")
	story.Line("chosen").Text("endpoint", "").Int("attempt", 1).Float("pace", 1.5).Millis("waited_ms", 1500*time.Microsecond).Bool("again", true).Done()
	story.Flush()
	assert.Assert(t, strings.HasSuffix(out.String(), ` chosen: request="a b" endpoint="" attempt=1 pace=1.50 waited_ms=1.5 again=true`+"\n"), out.String())
	story.End(true, time.Unix(1000, 0))
	assert.Equal(t, strings.Count(out.String(), "\n"), 1)
}

// TestNoRecorderNoStory.
func TestNoRecorderNoStory(t *testing.T) {
	var r *telemetry.RequestLogger
	story := r.Begin("id")
	assert.Assert(t, story == nil)
	story.Line("chosen").Text("endpoint", "e").Done()
	story.Flush()
	story.FlushWithin(time.Unix(1000, 0))
	story.End(true, time.Unix(1000, 0))
}

// TestEventsAreDocumented in the table that "lotusctl explain --events" prints.
func TestEventsAreDocumented(t *testing.T) {
	golden.Assert(t, telemetry.EventsText(), "events.golden")
}

// TestHistogramsCount each request in its bucket.
func TestHistogramsCount(t *testing.T) {
	h := telemetry.NewHistograms()
	for _, ms := range []int{3, 80, 80, 700} {
		h.Observe("s", "ran", time.Duration(ms)*time.Millisecond)
	}
	var out bytes.Buffer
	h.Write(&out)
	for _, want := range []string{
		`bucket{service="s",verdict="ran",le="0.005"} 1`,
		`bucket{service="s",verdict="ran",le="0.1"} 3`,
		`bucket{service="s",verdict="ran",le="1"} 4`,
		`bucket{service="s",verdict="ran",le="+Inf"} 4`,
		`count{service="s",verdict="ran"} 4`,
	} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s not in\n%s", want, out.String())
	}
}
