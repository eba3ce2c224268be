// Package window counts events in a sliding time window. Limits on what a fleet does are stated per
// window, and tests compare the events that they observed with these limits.
//
// The package keeps no state and reads no clock.
//
// # Usage
//
//	if float64(window.MaxCount(arrivals, 4*time.Second)) > allowed { ... }
package window

import "time"

// MaxCount returns the highest number of events in any window of the given length. A window
// includes its start and excludes its end. The events must be sorted.
func MaxCount(events []time.Time, length time.Duration) int {
	most, first := 0, 0
	for i, at := range events {
		for at.Sub(events[first]) >= length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
