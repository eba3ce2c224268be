package upstream

import (
	"strconv"
	"strings"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// ParseLoad parses a load report such as "inflight=2, slots=3, state=live".
// A number that is malformed counts as 0, like one that is missing: an endpoint may
// omit any of them. Known is false if the state is missing or not one that is defined.
func ParseLoad(header string) placement.LoadReport {
	var load placement.LoadReport
	for part := range strings.SplitSeq(header, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		switch key {
		case "inflight":
			load.InFlight, _ = strconv.Atoi(value)
		case "slots":
			load.Slots, _ = strconv.Atoi(value)
		case "state":
			load.State = placement.LoadState(value)
		}
	}
	switch load.State {
	case placement.Live, placement.Draining, placement.Cold:
		load.Known = true
	}
	return load
}

// FormatLoad returns a load report in the form that ParseLoad reads.
func FormatLoad(l placement.LoadReport) string {
	return "inflight=" + strconv.Itoa(l.InFlight) + ", slots=" + strconv.Itoa(l.Slots) + ", state=" + string(l.State)
}
