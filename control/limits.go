package control

import (
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/limits"
)

// addLimits declares the command about endpoints that name limits.
func addLimits(a *command.App) {
	a.Add("limits", "List the endpoints that name how many requests a second they take, and how much of that is used.", func(c *kingpin.CmdClause) func() error {
		addr := c.Flag("balancer", "admin address of a balancer").Required().String()
		return func() error { return show(a.Env, *addr, "/limits", limitRows) }
	})
}

func limitRows(list []limits.Status) (header []string, rows [][]string) {
	header = []string{"endpoint", "service", "zone", "state", "a second", "now", "age", "sent here", "denied here", "alone", "owner", "let go", "asks a second"}
	for _, st := range list {
		given, asks := "-", "-" // only its owner knows
		if st.Owns {
			given, asks = strconv.FormatInt(st.Given, 10), number(st.Asks)
		}
		rows = append(rows, []string{
			st.Endpoint, st.Service, st.Zone, st.State, number(st.PerSecond), number(st.Now), st.Age.Round(time.Millisecond).String(),
			strconv.FormatInt(st.Sent, 10), strconv.FormatInt(st.Denied, 10), strconv.FormatBool(st.Alone), st.Owner, given, asks,
		})
	}
	return header, rows
}
