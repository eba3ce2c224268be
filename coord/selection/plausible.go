package selection

import "github.com/lotuswing/lotuswing/coord/placement"

const (
	// maxReportedCount bounds each count of a load report, and maxReportedPace its pace. Beyond them, products of
	// the numbers with one another and with times could overflow.
	maxReportedCount = 1 << 20
	maxReportedPace  = 10_000
	// maxSlotsFactor is how many times the listed slots an endpoint may report. Its entry follows a change of its
	// slots, but may be late.
	maxSlotsFactor = 8
)

// PlausibleReport returns a load report of an endpoint with the given number of listed slots, 0 if unknown. A
// report that cannot be true is returned as one that is not Known: a faulty endpoint may report anything.
func PlausibleReport(r placement.LoadReport, listed int) placement.LoadReport {
	if isCount(r.InFlight) && isCount(r.Waiting) && isCount(r.Slots) && r.Pace >= 0 && r.Pace <= maxReportedPace &&
		(listed <= 0 || r.Slots <= maxSlotsFactor*min(listed, maxReportedCount)) {
		return r
	}
	return placement.LoadReport{State: r.State}
}

// isCount reports whether n is the count of something at one endpoint.
func isCount(n int) bool { return n >= 0 && n <= maxReportedCount }
