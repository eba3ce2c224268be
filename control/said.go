package control

import (
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/server"
)

// addSaid declares the command about what endpoints say of themselves.
func addSaid(a *command.App) {
	a.Add("said", "List what endpoints say of themselves in their answers: that they leave, that they want no requests for a while, that they take so many a second.", func(c *kingpin.CmdClause) func() error {
		addr := c.Flag("balancer", "admin address of a balancer").Required().String()
		return func() error { return show(a.Env, *addr, "/said", saidRows) }
	})
}

func saidRows(list []server.SaidStatus) (header []string, rows [][]string) {
	header = []string{"endpoint", "service", "zone", "says"}
	for _, e := range list {
		rows = append(rows, []string{e.Endpoint, e.Service, e.Zone, strings.Join(sayings(e), ", ")})
	}
	return header, rows
}

// sayings returns what an endpoint says, as operators read it.
func sayings(e server.SaidStatus) (all []string) {
	rounded := func(d time.Duration) string { return d.Round(time.Millisecond).String() }
	if e.Leaving {
		all = append(all, "leaves")
	}
	if e.Backoff > 0 {
		all = append(all, "wants no requests for "+rounded(e.Backoff))
	}
	if e.Slow {
		all = append(all, "takes few requests after it wanted none")
	}
	if e.Hint > 0 {
		all = append(all, "wants none of another balancer for "+rounded(e.Hint))
	}
	if e.Limit != nil && e.Limit.State == "lifted" {
		all = append(all, "took "+number(e.Limit.PerSecond)+" a second")
	} else if e.Limit != nil {
		all = append(all, "takes "+number(e.Limit.PerSecond)+" a second")
	}
	return all
}
