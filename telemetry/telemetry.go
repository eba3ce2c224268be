// Package telemetry sets up logs, metrics and traces.
//
// Logs are one line of key=value pairs for each event. Metrics are kept in
// registries of rcrowley/go-metrics and written in the text form that
// Prometheus scrapes. Traces have a span for each hop; with the exporter
// "none" no span is recorded.
//
// It owns the queue of log lines that are not written yet (queue.go), the rate of the
// lines about requests (requestlog.go, events.go) and the latency histograms
// (histogram.go). It relies on nobody: a log that is not read holds up no request.
//
// # Usage
//
//	log, err := telemetry.Logger("lotuswing", "info", os.Stderr)
//	tracing, err := telemetry.NewTracing("none", os.Stderr)
//	defer tracing.Shutdown(ctx)
package telemetry

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Logger returns a logger of the given level: trace, debug, info, warn, error.
func Logger(name, level string, w io.Writer) (hclog.Logger, error) {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel {
		return nil, fmt.Errorf("telemetry: log level %q is none of trace, debug, info, warn, error", level)
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: l, Output: w}), nil
}

// Tracing makes spans and carries their context between hops.
type Tracing struct {
	Tracer     trace.Tracer
	Propagator propagation.TextMapPropagator
	Enabled    bool
	shutdown   func(context.Context) error
}

// NewTracing returns tracing with the named exporter: none or stderr.
func NewTracing(exporter string, w io.Writer) (*Tracing, error) {
	t := &Tracing{Propagator: propagation.TraceContext{}, shutdown: func(context.Context) error { return nil }}
	switch exporter {
	case "", "none":
		t.Tracer = noop.NewTracerProvider().Tracer("")
		return t, nil
	case "stderr":
	default:
		return nil, fmt.Errorf("telemetry: exporter %q is none of none, stderr", exporter)
	}
	exp, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, fmt.Errorf("telemetry: %w", err)
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exp))
	t.Tracer = provider.Tracer("github.com/lotuswing/lotuswing")
	t.Enabled = true
	t.shutdown = provider.Shutdown
	return t, nil
}

// Shutdown sends what is left.
func (t *Tracing) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

// quantiles of a timer that are written out.
var quantiles = []float64{0.5, 0.99, 0.999}

// WritePrometheus writes the registry in Prometheus' text form. Names may
// carry labels in braces.
func WritePrometheus(w io.Writer, r metrics.Registry) {
	var lines []string
	r.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			lines = append(lines, line(name, "", "", float64(m.Count())))
		case metrics.Gauge:
			lines = append(lines, line(name, "", "", float64(m.Value())))
		case metrics.Timer:
			s := m.Snapshot()
			for i, v := range s.Percentiles(quantiles) {
				lines = append(lines, line(name, "_seconds", fmt.Sprintf("quantile=%q", fmt.Sprint(quantiles[i])), v/1e9))
			}
			lines = append(lines, line(name, "_seconds_count", "", float64(s.Count())))
		}
	})
	sort.Strings(lines)
	_, _ = io.WriteString(w, strings.Join(lines, "")) // whoever scrapes may have gone
}

func line(name, suffix, label string, value float64) string {
	base, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
	if label != "" && labels != "" {
		labels += ","
	}
	labels += label
	if labels != "" {
		labels = "{" + labels + "}"
	}
	return fmt.Sprintf("lotuswing_%s%s%s %g\n", base, suffix, labels, value)
}
