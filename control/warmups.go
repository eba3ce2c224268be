package control

import (
	"fmt"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/server"
)

// addWarmups declares the command about endpoints in warm-up.
func addWarmups(a *command.App) {
	a.Add("warmups", "List the endpoints that warm up, as one balancer knows them, and the permits for requests to them.", func(c *kingpin.CmdClause) func() error {
		addr := c.Flag("balancer", "admin address of a balancer").Required().String()
		return func() error { return showWarmups(a.Env, *addr) }
	})
}

func showWarmups(e *command.Env, addr string) error {
	var st server.WarmupStatus
	if err := askValue(addr, "/warmups", &st); err != nil {
		return fmt.Errorf("/warmups: %w", err)
	}
	if e.Format == "json" {
		return e.JSON(st)
	}
	return e.Table(warmupRows(st))
}

// warmupRows returns a row for each endpoint, and one for the balancer's permits.
func warmupRows(st server.WarmupStatus) (header []string, rows [][]string) {
	header = []string{"endpoint", "service", "zone", "state", "may send", "opens in", "granted", "failures", "paused"}
	granted := map[string][]string{}
	for _, g := range st.Permits.Endpoints {
		granted[g.Endpoint] = []string{strconv.FormatInt(g.Granted, 10), strconv.Itoa(g.Failures), g.Paused.Round(time.Millisecond).String()}
	}
	for _, e := range st.Endpoints {
		state := "responds to no probes"
		if e.WarmingUp {
			state = "warming up"
		}
		row := []string{e.Endpoint, e.Service, e.Zone, state, e.Standing, e.OpensIn.Round(time.Millisecond).String()}
		if own, ok := granted[e.Endpoint]; ok {
			row = append(row, own...)
		} else {
			row = append(row, "-", "-", "-") // only its owner knows
		}
		rows = append(rows, row)
	}
	p := st.Permits
	rows = append(rows, []string{
		"all", "", "", fmt.Sprintf("owner=%t", p.Owner), fmt.Sprintf("held=%d used=%d", p.Held, p.Used), fmt.Sprintf("asked=%d", p.Asked),
		strconv.FormatInt(p.Granted, 10), fmt.Sprintf("denied=%d", p.Denied), fmt.Sprintf("unanswered=%d", p.Unanswered),
	})
	return header, rows
}
