package contract

import (
	"cmp"
	"time"
)

const (
	// defaultShedPause is the pause after one shed.
	defaultShedPause = 10 * time.Millisecond
	// mostShedDoublings bounds the pause after sheds in a row: 10 ms to 1.28 s.
	mostShedDoublings = 7
)

// ShedPause returns how long an endpoint is left alone after it shed a request and the given number of
// requests in a row before that. base is the pause after the first one; 0 for the default. A shed is no
// failure: the endpoint is full, nothing ran, and requests wait for it rather than being refused.
func ShedPause(base time.Duration, before int) time.Duration {
	return cmp.Or(base, defaultShedPause) << min(before, mostShedDoublings)
}
