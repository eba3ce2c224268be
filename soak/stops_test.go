package soak

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPlantedLossesInPlannedStopsAreCaught: a stop from 10 s to 11.86 s after the start, whose notice
// ends at 10.7 s.
func TestPlantedLossesInPlannedStopsAreCaught(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		sent, lost, ended float64 // after the start; 0 for not
		partial, mayRun   bool
		idle              bool // no endpoint ran it
		killed            float64
		disturb           func(*calendar)
		want              Promise
	}{
		"answered late":                    {sent: 10.75, ended: 11.7},
		"cut, sent in the notice":          {sent: 10.5, lost: 11.86, want: StopsLoseNothing},
		"cut, sent before the stop":        {sent: 9.5, lost: 11.86, want: StopsLoseNothing},
		"cut, sent after the notice":       {sent: 11.6, lost: 11.86, want: LateIsAnswered},
		"not run":                          {sent: 11.6, lost: 11.86, idle: true},
		"cut within its response":          {sent: 10.5, lost: 11.86, partial: true, want: StopsEndBetween},
		"the same, not run":                {sent: 11.6, lost: 11.86, partial: true, idle: true, want: StopsEndBetween},
		"given up late":                    {sent: 11, ended: 11.8, mayRun: true, want: LateNotGivenUp},
		"given up, its time was up":        {sent: 11, ended: 13, mayRun: true},
		"given up, sent in the notice":     {sent: 10.6, ended: 11.8, mayRun: true},
		"given up, before the signal came": {sent: 10.85, ended: 11.8, mayRun: true},
		"given up, not run":                {sent: 11, ended: 11.8, mayRun: true, idle: true},
		"lost before the stop":             {sent: 9, lost: 9.5},
		"sent after the stop":              {sent: 11.9, lost: 12},
		"killed at its grace":              {sent: 10.5, lost: 12.01, killed: 12, want: StopsInTime},
		"cut before the kill":              {sent: 10.5, lost: 11.8, killed: 12, want: StopsLoseNothing + "; " + StopsInTime},
		"paused and killed":                {sent: 10.5, lost: 12.01, killed: 12, disturb: func(c *calendar) { c.disturb("vm-0", at(11), at(11.2)) }},
		"paused":                           {sent: 10.5, lost: 11.86, disturb: func(c *calendar) { c.disturb("vm-0", at(11), at(11.2)) }},
		"paused long before":               {sent: 10.5, lost: 11.86, disturb: func(c *calendar) { c.disturb("vm-0", at(5), at(7)) }, want: StopsLoseNothing},
		"another one paused":               {sent: 10.5, lost: 11.86, disturb: func(c *calendar) { c.disturb("vm-1", at(11), at(11.2)) }, want: StopsLoseNothing},
		"a second signal, later":           {sent: 10.5, lost: 11, disturb: func(c *calendar) { c.disturb("vm-0", at(11.1), at(11.2)) }, want: StopsLoseNothing},
		"the store silent":                 {sent: 10.5, lost: 11.86, disturb: func(c *calendar) { c.bear("", at(9), at(11)) }, want: StopsLoseNothing},
		"its endpoint in trouble":          {sent: 10.5, lost: 11.86, disturb: func(c *calendar) { c.spoil("i-1", at(9), at(11)) }},
		"another endpoint in trouble":      {sent: 10.5, lost: 11.86, disturb: func(c *calendar) { c.spoil("i-2", at(9), at(11)) }, want: StopsLoseNothing},
	} {
		l, cal := newLedger(), &calendar{}
		s := plannedStop{balancer: "vm-0", began: at(10), ended: at(11.86)}
		if c.killed != 0 {
			s.killed, s.ended = at(c.killed), at(c.killed+0.02)
		}
		cal.stop(s)
		if c.disturb != nil {
			c.disturb(cal)
		}
		r := &sentRequest{id: "a", method: http.MethodGet, path: "/read/1", repeatable: true, balancer: "vm-0", at: at(c.sent), mayHaveRun: c.mayRun}
		l.begin(r)
		if c.lost != 0 {
			l.endLost(r, c.partial, at(c.lost))
		} else {
			l.end(r, 200, at(c.ended))
		}
		e := planted(serviceAlpha, "GET a /read/1")
		if c.idle {
			e = planted(serviceAlpha)
		}
		l.checkStops(cal, []*endpoint{e}, true)
		slices.SortFunc(l.violations, func(a, b Violation) int { return strings.Compare(string(a.Promise), string(b.Promise)) })
		assert.Equal(t, promises(l), string(c.want), name)
	}
}

// TestPlantedKillsAreCaughtOnWorkingMachinesAlone: they are counted on others, too.
func TestPlantedKillsAreCaughtOnWorkingMachinesAlone(t *testing.T) {
	for _, timed := range []bool{false, true} {
		l, cal := newLedger(), &calendar{}
		cal.stop(plannedStop{balancer: "vm-0", began: start, killed: start.Add(stopGrace), ended: start.Add(stopGrace)})
		assert.Equal(t, l.checkStops(cal, nil, timed), 1)
		assert.Equal(t, len(l.violations) > 0, timed)
	}
}

// TestKeptConnections: what a caller that keeps its connection notes of each end of it.
func TestKeptConnections(t *testing.T) {
	const whole = "HTTP/1.1 503 x\r\nContent-Length: 1\r\n\r\nx"
	for name, c := range map[string]struct {
		answers               string
		unread, lost, partial int
	}{
		"closed by a response":  {"HTTP/1.1 503 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 3, 0, 0},
		"closed without a byte": {"", 0, 4, 0},
		"cut in a head":         {"HTTP/1.1 5", 0, 4, 1},
		"cut in a body":         {whole[:len(whole)-1], 0, 4, 1},
		"closed between":        {whole, 0, 4, 0}, // the depth is full again
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(conn)
			for range 4 + strings.Count(c.answers, whole) {
				r, err := http.ReadRequest(in)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if r.RequestURI[strings.IndexByte(r.RequestURI, '='):] == "=3" {
					_, _ = io.WriteString(conn, c.answers)
				}
			}
			_ = conn.Close()
		}()
		l := newLedger()
		k := newKeeper(2, nil, l, rand.New(rand.NewPCG(1, 1))) // of depth 4
		k.keep(t.Context(), &balancer{id: "vm-0", listen: listener.Addr().String()})
		var unread, lost, partial int
		for _, r := range l.sent {
			for _, count := range []struct {
				n    *int
				seen bool
			}{{&unread, r.unread}, {&lost, !r.lost.IsZero()}, {&partial, r.partial}} {
				if count.seen {
					*count.n++
				}
			}
		}
		assert.DeepEqual(t, [...]int{unread, lost, partial}, [...]int{c.unread, c.lost, c.partial})
		assert.NilError(t, listener.Close(), name)
	}
}
