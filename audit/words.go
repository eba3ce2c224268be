package audit

import (
	"fmt"
	"time"
)

// Arrival is one request that reached an endpoint, and what the endpoint's answer to it said of the
// endpoint.
type Arrival struct {
	Endpoint string
	Request  string
	Balancer string        // that sent it; empty where it is not known
	Sent     time.Time     // by its caller; zero where it is not known, which counts as At
	At       time.Time     // when it reached the endpoint
	Answered time.Time     // zero where it was not
	Leaving  bool          // the answer said that the endpoint leaves
	Backoff  time.Duration // for which the answer, a refusal, asked for no requests; 0 for none
}

func (a Arrival) sent() time.Time {
	if a.Sent.IsZero() {
		return a.At
	}
	return a.Sent
}

const (
	// backoffKnown is how long after an endpoint has asked for a backoff requests may still come,
	// which were under way, and backoffExtra how many more the operators bear with.
	backoffKnown = 500 * time.Millisecond
	backoffExtra = 2
)

// source is a balancer as one endpoint sees it.
type source struct{ endpoint, balancer string }

// SentAfterLeaving compares what endpoints got with when they said that they leave: nothing that a caller
// sent later than within after a balancer had such an answer may reach the endpoint from there. excused
// says which arrivals do not count, given when the balancer was told; nil for none.
func SentAfterLeaving(arrivals []Arrival, within time.Duration, excused func(a Arrival, told time.Time) bool) []Violation {
	told := map[source]time.Time{}
	for _, a := range arrivals {
		s := source{a.Endpoint, a.Balancer}
		if at, ok := told[s]; a.Leaving && !a.Answered.IsZero() && (!ok || a.Answered.Before(at)) {
			told[s] = a.Answered
		}
	}
	var out []Violation
	for _, a := range arrivals {
		at, ok := told[source{a.Endpoint, a.Balancer}]
		if late := a.sent().Sub(at); ok && late > within && (excused == nil || !excused(a, at)) {
			out = append(out, Violation{NoWorkLeaving, fmt.Sprintf("%s got %s from %s, sent %v after an answer that it leaves", a.Endpoint, a.Request, a.Balancer, late)})
		}
	}
	return out
}

// SentInBackoff compares what endpoints got with the time without requests that they had asked a
// balancer for. excused is as for SentAfterLeaving.
func SentInBackoff(arrivals []Arrival, excused func(a Arrival, told time.Time) bool) []Violation {
	bySource := map[source][]Arrival{}
	for _, a := range arrivals {
		s := source{a.Endpoint, a.Balancer}
		bySource[s] = append(bySource[s], a)
	}
	var out []Violation
	for s, got := range bySource {
		for _, asked := range got {
			if n := arrivedIn(got, asked, excused); n > backoffExtra {
				out = append(out, Violation{BackoffsHold, fmt.Sprintf("%s got %d requests from %s within the %v that it had asked for without any", s.endpoint, n, s.balancer, asked.Backoff)})
			}
		}
	}
	return out
}

// arrivedIn counts the requests that arrived within a backoff that one answer had asked for.
func arrivedIn(got []Arrival, asked Arrival, excused func(a Arrival, told time.Time) bool) int {
	if asked.Backoff == 0 || asked.Answered.IsZero() {
		return 0
	}
	from, to := asked.Answered.Add(backoffKnown), asked.Answered.Add(asked.Backoff)
	n := 0
	for _, a := range got {
		if a.At.After(from) && a.At.Before(to) && (excused == nil || !excused(a, asked.Answered)) {
			n++
		}
	}
	return n
}
