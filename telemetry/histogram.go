package telemetry

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of latency histograms, in microseconds.
const (
	lowestMicros  = 100
	highestMicros = 10 * 60 * 1000 * 1000
	digits        = 2
)

// buckets are the upper bounds, in seconds, that are written out.
var buckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10}

// Histograms are latency histograms by service and verdict.
type Histograms struct {
	mu   sync.Mutex
	each map[histogramKey]*latency
}

type histogramKey struct{ service, verdict string }

type latency struct {
	*hdrhistogram.Histogram
	sum time.Duration
}

// NewHistograms returns none yet.
func NewHistograms() *Histograms { return &Histograms{each: map[histogramKey]*latency{}} }

// Observe records how long a request took.
func (h *Histograms) Observe(service, verdict string, took time.Duration) {
	key := histogramKey{service, verdict}
	h.mu.Lock()
	defer h.mu.Unlock()
	l, ok := h.each[key]
	if !ok {
		l = &latency{Histogram: hdrhistogram.New(lowestMicros, highestMicros, digits)}
		h.each[key] = l
	}
	// A value within the bounds is always taken.
	_ = l.RecordValue(min(max(took.Microseconds(), lowestMicros), highestMicros))
	l.sum += took
}

// Write writes the histograms in Prometheus' text form.
func (h *Histograms) Write(w io.Writer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lines := make([]string, 0, len(h.each))
	for key, l := range h.each {
		lines = append(lines, l.lines(fmt.Sprintf("service=%q,verdict=%q", key.service, key.verdict)))
	}
	slices.Sort(lines)
	// Whoever scrapes may have gone.
	_, _ = io.WriteString(w, "# TYPE lotuswing_request_seconds histogram\n"+strings.Join(lines, ""))
}

func (l *latency) lines(labels string) string {
	var b strings.Builder
	counts := l.cumulative()
	for i, bound := range buckets {
		fmt.Fprintf(&b, "lotuswing_request_seconds_bucket{%s,le=\"%g\"} %d\n", labels, bound, counts[i])
	}
	fmt.Fprintf(&b, "lotuswing_request_seconds_bucket{%s,le=\"+Inf\"} %d\n", labels, l.TotalCount())
	fmt.Fprintf(&b, "lotuswing_request_seconds_sum{%s} %g\n", labels, l.sum.Seconds())
	fmt.Fprintf(&b, "lotuswing_request_seconds_count{%s} %d\n", labels, l.TotalCount())
	return b.String()
}

// cumulative counts the values up to each bucket's bound.
func (l *latency) cumulative() []int64 {
	counts := make([]int64, len(buckets))
	for _, bar := range l.Distribution() {
		for i, bound := range buckets {
			if float64(bar.To) <= bound*1e6 {
				counts[i] += bar.Count
			}
		}
	}
	return counts
}
