// Package window counts what falls into a sliding window of time. Bounds on what a fleet does are
// stated that way, and proofs of them compare what was seen with it.
//
// It owns no state and reads no clock.
//
// # Usage
//
//	if float64(window.Most(arrivals, 4*time.Second)) > allowed { ... }
package window

import "time"

// Most returns the highest number of events in any window of a length, which counts from an event
// up to, and without, the moment a length later. The events are in order.
func Most(events []time.Time, length time.Duration) int {
	most, first := 0, 0
	for i, at := range events {
		for at.Sub(events[first]) >= length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
