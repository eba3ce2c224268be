package logread

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/telemetry"
)

// Seen is what balancers saw of an endpoint together. Logs above their rate leave out
// requests that succeeded, so shares are to be compared with those of other endpoints.
type Seen struct {
	Endpoint  string
	Service   string // empty where no line tells it
	Balancers int    // that sent it something
	Attempts  int    // that ended; the sum of the next four
	Ran       int    // with a response below 500
	Failed    int    // with a response from 500 on, though the endpoint ran the request
	Refused   int    // proved not to have run
	Unknown   int    // may have run, without a response that counts
	Median    time.Duration
}

// Share returns the part of the attempts that did not end well.
func (s Seen) Share() float64 {
	if s.Attempts == 0 {
		return 0
	}
	return float64(s.Attempts-s.Ran) / float64(s.Attempts)
}

// Endpoints returns what the balancers of the logs saw of each endpoint: those first of
// which most attempts did not end well.
func Endpoints(sources []Source) ([]Seen, error) {
	t := tally{services: map[requestKey]string{}, endpoints: map[string]*counts{}}
	for _, source := range sources {
		if err := scan(source.Log, t.note); err != nil {
			return nil, fmt.Errorf("logread: %s: %w", source.Name, err)
		}
	}
	return t.seen(), nil
}

// requestKey names a request of a process: callers may give two the same identity.
type requestKey struct{ process, request string }

// counts are the attempts at one endpoint.
type counts struct {
	seen      Seen
	balancers map[string]bool
	took      []time.Duration // of those that ran
}

// tally puts lines together.
type tally struct {
	services  map[requestKey]string // of requests that have not ended
	endpoints map[string]*counts
}

// note counts a line.
func (t *tally) note(process string, _ time.Time, text string) {
	key := requestKey{process, Value(text, "request")}
	switch {
	case isEvent(text, telemetry.EventAdmitted):
		t.services[key] = Value(text, "service")
	case isEvent(text, telemetry.EventAttempt):
		t.noteAttempt(key, text)
	case isEvent(text, telemetry.EventEnded):
		delete(t.services, key)
	}
}

// isEvent reports whether a line tells of an event of a request.
func isEvent(text, event string) bool {
	return strings.Contains(text, ": "+event+": request=")
}

// noteAttempt counts an attempt that ended.
func (t *tally) noteAttempt(key requestKey, text string) {
	id := Value(text, "endpoint")
	c := t.endpoints[id]
	if c == nil {
		c = &counts{seen: Seen{Endpoint: id}, balancers: map[string]bool{}}
		t.endpoints[id] = c
	}
	c.balancers[key.process] = true
	c.seen.Service = cmp.Or(c.seen.Service, t.services[key])
	c.seen.Attempts++
	switch {
	case Value(text, "verdict") == verdict.NotRun.String():
		c.seen.Refused++
	case Value(text, "verdict") != verdict.Ran.String():
		c.seen.Unknown++
	case number(text, "status") >= http.StatusInternalServerError:
		c.seen.Failed++
	default:
		c.seen.Ran++
		c.took = append(c.took, time.Duration(number(text, "took_ms")*float64(time.Millisecond)))
	}
}

// number returns the value of a field of a line; 0 where it is none.
func number(text, field string) float64 {
	n, err := strconv.ParseFloat(Value(text, field), 64)
	if err != nil {
		return 0
	}
	return n
}

// seen returns what was counted, in order.
func (t *tally) seen() []Seen {
	list := make([]Seen, 0, len(t.endpoints))
	for _, c := range t.endpoints {
		c.seen.Balancers = len(c.balancers)
		if len(c.took) > 0 {
			slices.Sort(c.took)
			c.seen.Median = c.took[len(c.took)/2]
		}
		list = append(list, c.seen)
	}
	slices.SortFunc(list, func(a, b Seen) int {
		return cmp.Or(cmp.Compare(b.Attempts-b.Ran, a.Attempts-a.Ran), cmp.Compare(b.Share(), a.Share()), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list
}
