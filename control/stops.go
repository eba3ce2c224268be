package control

import (
	"fmt"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/coord/drain"
	"github.com/lotuswing/lotuswing/server"
)

// addStops declares the command about planned stops.
func addStops(a *command.App) {
	a.Add("stops", "Show how far planned stops of balancers have come: phase, time left, what is in flight, and what was cut.", func(c *kingpin.CmdClause) func() error {
		addrs := c.Flag("balancer", "admin address of a balancer; may be repeated").Required().Strings()
		return func() error { return stops(a.Env, *addrs) }
	})
}

// stopOf is the state of one balancer's stop. A balancer that does not answer has an error only.
type stopOf struct {
	Balancer string
	server.StopStatus
	Error string `json:",omitempty"`
}

// stops shows the stops of all balancers that answer. It fails if none does.
func stops(e *command.Env, addrs []string) error {
	var list []stopOf
	var failed error
	answered := false
	for _, addr := range addrs {
		st, err := askStop(addr)
		if err != nil {
			failed = fmt.Errorf("%s: %w", addr, err)
			list = append(list, stopOf{Balancer: addr, Error: err.Error()})
			continue
		}
		answered = true
		list = append(list, stopOf{Balancer: addr, StopStatus: st})
	}
	if !answered {
		return failed
	}
	return put(e, list, stopRows)
}

// askStop returns the state of the stop of the balancer at an admin address.
func askStop(addr string) (server.StopStatus, error) {
	var st struct{ Stop server.StopStatus }
	err := askStatus(addr, &st)
	return st.Stop, err
}

func stopRows(list []stopOf) (header []string, rows [][]string) {
	header = []string{"balancer", "phase", "since", "ends in", "in flight", "connections", "duties", "given up", "cut"}
	for _, st := range list {
		if st.Error != "" {
			rows = append(rows, []string{st.Balancer, "no answer", "-", "-", "-", "-", "-", "-", "-"})
			continue
		}
		rows = append(rows, stopRow(st))
	}
	return header, rows
}

func stopRow(st stopOf) []string {
	since, endsIn, duties := "-", "-", "-"
	if st.Stopping() {
		since, endsIn = st.Since.Round(time.Millisecond).String(), st.EndsIn.Round(time.Millisecond).String()
		duties = dutiesOf(st.StopStatus)
	}
	return []string{
		st.Balancer, st.Phase, since, endsIn, strconv.FormatInt(st.InFlight, 10), strconv.Itoa(st.Connections), duties,
		strconv.FormatInt(st.GivenUp, 10), strconv.FormatInt(st.Cut, 10),
	}
}

// dutiesOf says how far handing over has come in a stop.
func dutiesOf(st server.StopStatus) string {
	switch {
	case st.HandedOver:
		return "handed over in " + st.HandOverTook.Round(time.Millisecond).String()
	case st.Phase == drain.Over.String():
		return "not handed over"
	}
	return "being handed over"
}
