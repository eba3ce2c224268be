package quarantine

import (
	"fmt"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/coord/placement"
)

// ended returns the incarnations that ended under a request, as far as starts can be told apart.
func ended(is crash.Case) []placement.Incarnation {
	var all []placement.Incarnation
	for _, e := range is.Ends() {
		if e.Start != 0 {
			all = append(all, placement.Incarnation{VM: e.Endpoint, Start: e.Start})
		}
	}
	return all
}

// evidence tells on what a decision rests.
func evidence(is crash.Case, now time.Time) string {
	var parts []string
	for _, e := range is.Ends() {
		text := fmt.Sprintf("%s ended %s ago, seen by %s", e.Endpoint, now.Sub(e.At).Round(time.Millisecond), e.SeenBy)
		switch {
		case e.Trial && e.Alone:
			text += ", on trial alone"
		case e.Trial:
			text += ", on trial"
		}
		parts = append(parts, text)
	}
	if is.Ordered() {
		parts = append(parts, "ordered by an operator")
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, "; ")
}
