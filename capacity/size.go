package capacity

import (
	"fmt"
	"io"
	"strings"
)

// size is a size of the whole, with what follows from it.
type size struct {
	name        string
	nodes       float64 // processes that take part in the fleet
	endpoints   float64
	services    float64
	zones       float64
	callsPerSec float64
	changes     float64 // of configuration, a day
	vmChanges   float64 // of the list of VMs, a day
	documents   float64 // bytes of one tenant's document
}

const secondsADay = 24 * 60 * 60

var (
	today = size{"today", 16, 38, 3, 4, 2000, 20, 50, 4 << 10}
	later = size{"two years", 23000, 23000, 930, 12, 6.4e6, 12000, 35 + 2*2800, 1 << 20}
)

// Limits of control on one node, from the users' aim.
const (
	limitCPU    = 1.9 // percent of a core
	limitMemory = 64 << 20
	limitBytes  = 18 << 10 // a second
)

// Periods and sizes of the mechanisms, as package node has them.
const (
	heartbeatsPerSec = 2 / 0.3 // sent; as many arrive
	digestMembers    = 13
	markHours        = 1.0 / 6 // how long marks travel
	watchesPerDoc    = 2 * 2.0 / 2.25
)

// line is a row of the second table.
type line struct {
	role, what, unit string
	at               func(Report, size) float64
	limit            float64 // 0 for none
	mechanism        string
}

// homesPerNode is how many services one node is the home of: one home for each
// service and zone.
func homesPerNode(s size) float64 { return s.services * s.zones / s.nodes }

// endpointsPerHome is the size of one home's ledger.
func endpointsPerHome(s size) float64 { return s.endpoints / s.services / s.zones }

// callsPerNode is what one node asks homes for a second, and as many are asked
// of it.
func callsPerNode(s size) float64 { return s.callsPerSec / s.nodes }

func marks(s size) float64 { return s.vmChanges / 2 / 24 * markHours }

var lines = []line{
	{"home", "decisions", "% of a core", func(r Report, s size) float64 {
		return callsPerNode(s) * r.line("decide").At(endpointsPerHome(s)) / 1e7
	}, limitCPU, "ledger in memory (coord/contract)"},
	{"home", "calls on links: acquire, complete", "% of a core", func(r Report, s size) float64 {
		return callsPerNode(s) * 2 * r.line("call").At(1) / 1e7
	}, limitCPU, "contracts over net/rpc (link, node)"},
	{"home", "memory of ledgers", "bytes", func(r Report, s size) float64 {
		return homesPerNode(s)*r.line("ledger").At(endpointsPerHome(s)) + 3*s.endpoints/s.nodes*r.line("contract").Slope
	}, limitMemory, "ledger in memory (coord/contract)"},
	{"member", "heartbeats", "% of a core", func(r Report, s size) float64 {
		return 2 * heartbeatsPerSec * (r.line("call").At(digestMembers)/2 + r.line("merge").At(s.nodes)) / 1e7
	}, limitCPU, "heartbeats to two peers (coord/member, node)"},
	{"member", "heartbeats on the wire", "bytes/s", func(r Report, s size) float64 {
		return 2 * heartbeatsPerSec * (r.line("digest").At(min(s.nodes, digestMembers)) + r.line("mark").At(marks(s)))
	}, limitBytes, "bounded digests; marks forgotten after ten minutes"},
	{"member", "memory of the view", "bytes", func(r Report, s size) float64 {
		return r.line("member").At(s.nodes)
	}, limitMemory, "member table (coord/member)"},
	{"member", "list of VMs on the wire", "bytes/s", func(r Report, s size) float64 {
		return s.vmChanges * r.line("list").At(s.endpoints+s.nodes) / secondsADay
	}, limitBytes, "whole lists, passed on by peers (node)"},
	{"member", "list of VMs, reading", "% of a core", func(r Report, s size) float64 {
		homes := s.services * r.line("home").At(s.nodes)
		return s.vmChanges * (r.line("parse").At(s.endpoints+s.nodes) + homes) / secondsADay / 1e7
	}, limitCPU, "whole lists; a new snapshot for each (node)"},
	{"watcher", "configuration on the wire, on every node", "bytes/s", func(_ Report, s size) float64 {
		return s.changes * s.documents / secondsADay
	}, limitBytes, "whole documents, passed on by peers (coord/document, node)"},
	{"watcher", "calls on the store, whole fleet", "calls/s", func(_ Report, _ size) float64 {
		return watchesPerDoc
	}, 2000, "two watchers a document, whatever the fleet"},
	{"prober", "writes to the store, whole fleet", "calls/s", func(Report, size) float64 {
		return 1 / 1.67
	}, 100, "one lease for each tenant, renewed each 1.7 s"},
}

// WriteMarkdown writes both tables.
func WriteMarkdown(w io.Writer, r Report) error {
	var b strings.Builder
	b.WriteString("### Measured slopes\n\n| name | what | points (size: cost) | line | largest error |\n| --- | --- | --- | --- | --- |\n")
	for _, s := range r.Slopes {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.0f: %s", p.Size, number(p.Cost)))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s + %s %s per %s | %.0f %% |\n", s.Name, s.What, strings.Join(points, ", "),
			number(s.Line.Base), number(s.Line.Slope), s.Unit, s.Per, 100*s.Line.Error)
	}
	b.WriteString("\n### One node at both sizes\n\n| role | line | today | two years | limit | margin | mechanism |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, l := range lines {
		now, then := l.at(r, today), l.at(r, later)
		fmt.Fprintf(&b, "| %s | %s, %s | %s | %s | %s | %s | %s |\n",
			l.role, l.what, l.unit, number(now), number(then), number(l.limit), margin(then, l.limit), l.mechanism)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// margin says how many times the limit the cost is.
func margin(cost, limit float64) string {
	if cost <= limit {
		return fmt.Sprintf("%.1f times below", limit/max(cost, 1e-9))
	}
	return fmt.Sprintf("**%.1f times over**", cost/limit)
}

func number(x float64) string {
	switch {
	case x >= 10000 || x <= -10000:
		return fmt.Sprintf("%.0f", x)
	case x >= 10 || x <= -10:
		return fmt.Sprintf("%.1f", x)
	}
	return fmt.Sprintf("%.3f", x)
}
