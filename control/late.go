package control

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/logread"
)

// addLate declares the command that tells what requests lost their time to.
func addLate(a *command.App) {
	a.Add("late", "Tell from the logs of balancers what requests that were late, or not served, lost their time to, and how estimates compare with what requests took. Logs above their rate leave successes out.", func(c *kingpin.CmdClause) func() error {
		places := c.Flag("places", "print how requests fared by their place at the endpoint instead").Bool()
		files := c.Arg("file", "logs of balancers").Required().Strings()
		return func() error { return late(a.Env, *places, *files) }
	})
}

var (
	causesHeader = []string{"target", "requests", "in time", "cause", "lost", "of requests"}
	placesHeader = []string{"target", "place", "requests", "late", "of them", "estimated, mean", "took, mean"}
)

func late(e *command.Env, places bool, files []string) error {
	sources, closeAll, err := openLogs(files)
	if err != nil {
		return command.ExitError{Code: command.ExitUsage, Err: fmt.Errorf("late: %w", err)}
	}
	all, err := logread.LateRequests(sources)
	if err := errors.Join(err, closeAll()); err != nil {
		return fmt.Errorf("late: %w", err)
	}
	header, rowsOf := causesHeader, causeRows
	if places {
		header, rowsOf = placesHeader, placeRows
	}
	var rows [][]string
	for _, l := range all {
		rows = append(rows, rowsOf(l)...)
	}
	return e.Table(header, rows)
}

func causeRows(l logread.Late) (rows [][]string) {
	for _, cause := range logread.Causes {
		if n := l.Causes[cause]; n > 0 {
			rows = append(rows, []string{
				l.Target.String(), strconv.Itoa(l.Requests), strconv.Itoa(l.Served), string(cause), strconv.Itoa(n), share(n, l.Requests),
			})
		}
	}
	return rows
}

func placeRows(l logread.Late) (rows [][]string) {
	for _, p := range l.Places {
		rows = append(rows, []string{
			l.Target.String(), strconv.Itoa(p.Busy), strconv.Itoa(p.Requests), strconv.Itoa(p.Late), share(p.Late, p.Requests),
			p.Estimate.Round(time.Millisecond).String(), p.Took.Round(time.Millisecond).String(),
		})
	}
	return rows
}

// share renders a part of a whole.
func share(n, of int) string { return fmt.Sprintf("%.1f %%", 100*float64(n)/float64(max(1, of))) }
