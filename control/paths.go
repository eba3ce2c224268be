package control

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/detour"
)

// addPaths declares the command about the paths to endpoints.
func addPaths(a *command.App) {
	a.Add("paths", "Show which endpoints a balancer reaches through other balancers only, or not at all, and how many connections it carries for others.", func(c *kingpin.CmdClause) func() error {
		addr := c.Flag("balancer", "admin address of a balancer").Required().String()
		return func() error { return paths(a.Env, *addr) }
	})
}

func paths(e *command.Env, addr string) error {
	list, err := ask[detour.Status](addr, "/paths")
	if err != nil {
		return fmt.Errorf("/paths: %w", err)
	}
	if e.Format == "json" {
		return e.JSON(list)
	}
	for _, st := range list {
		_, _ = fmt.Fprintln(e.Out, pathSummary(st))
		if err := e.Table(pathRows(st)); err != nil {
			return err
		}
	}
	return nil
}

// pathSummary returns what holds for all paths of a balancer, on one line.
func pathSummary(st detour.Status) string {
	state := "direct"
	switch {
	case st.Lost:
		state = "lost"
	case len(st.Detoured) > 0:
		state = "partly lost"
	}
	text := fmt.Sprintf("paths %s, %d detoured, %d carriers known, carrying %d of %d", state, len(st.Detoured), st.Carriers, st.Carried, st.MaxCarried)
	if len(st.NoneReached) > 0 {
		text += ", no endpoint reached of " + strings.Join(st.NoneReached, " ")
	}
	return text
}

func pathRows(st detour.Status) (header []string, rows [][]string) {
	header = []string{"endpoint", "service", "detoured for", "confirmed", "presumed"}
	for _, p := range st.Detoured {
		rows = append(rows, []string{p.Addr, p.Service, p.Since.Round(time.Millisecond).String(), strconv.FormatBool(p.Confirmed), strconv.FormatBool(p.Presumed)})
	}
	return header, rows
}
