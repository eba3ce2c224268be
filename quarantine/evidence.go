package quarantine

import (
	"fmt"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/coord/placement"
)

// crashedIncarnations returns the incarnations that crashed during the request, except those of
// endpoints that do not report their start.
func crashedIncarnations(history crash.History) []placement.Incarnation {
	var incarnations []placement.Incarnation
	for _, e := range history.Crashes() {
		if e.Start != 0 {
			incarnations = append(incarnations, placement.Incarnation{VM: e.Endpoint, Start: e.Start})
		}
	}
	return incarnations
}

// evidence describes the crashes and operator orders on which a decision is based. Callers and
// operators get the text.
func evidence(history crash.History, now time.Time) string {
	var parts []string
	for _, e := range history.Crashes() {
		text := fmt.Sprintf("%s ended %s ago, seen by %s", e.Endpoint, now.Sub(e.At).Round(time.Millisecond), e.SeenBy)
		switch {
		case e.Trial && e.Alone:
			text += ", on trial alone"
		case e.Trial:
			text += ", on trial"
		}
		parts = append(parts, text)
	}
	if history.RefusalOrdered() {
		parts = append(parts, "ordered by an operator")
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, "; ")
}
