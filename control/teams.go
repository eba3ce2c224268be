package control

import (
	"fmt"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/coord/quota"
	"github.com/lotuswing/lotuswing/rollout"
	"github.com/lotuswing/lotuswing/server"
)

// addTeams declares the commands about teams, their quotas, and versions that come in.
func addTeams(a *command.App) {
	a.Add("teams", "List the teams in force, with how many keys each has; never the keys.", func(c *kingpin.CmdClause) func() error {
		addr := c.Flag("balancer", "admin address of a balancer").Required().String()
		return func() error { return show(a.Env, *addr, "/teams", teamStatusRows) }
	})
	a.Add("quota", "Show what is left of the quotas of the teams that have sent anything through a balancer.", func(c *kingpin.CmdClause) func() error {
		addr := c.Flag("balancer", "admin address of a balancer").Required().String()
		return func() error { return show(a.Env, *addr, "/quota", quotaRows) }
	})
	group := a.Group("rollout", "Versions of services that come in.")
	a.Sub(group, "list", "List them; a balancer that decides shows on what evidence.", func(c *kingpin.CmdClause) func() error {
		addr := c.Flag("balancer", "admin address of a balancer").Required().String()
		return func() error { return show(a.Env, *addr, "/rollouts", rolloutRows) }
	})
	a.Sub(group, "stop", "Have one rolled back, whatever the evidence.", func(c *kingpin.CmdClause) func() error {
		addr := c.Flag("balancer", "admin address of a balancer").Required().String()
		service := c.Arg("service", "whose version comes in").Required().String()
		return func() error { return stopRollout(a.Env, *addr, *service) }
	})
}

// show prints what a balancer answers as a table, or as it is.
func show[T any](e *command.Env, addr, path string, rows func([]T) (header []string, rows [][]string)) error {
	list, err := ask[T](addr, path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return put(e, list, rows)
}

func teamStatusRows(list []server.TeamStatus) (header []string, rows [][]string) {
	header = []string{"team", "keys", "priority", "requests a second", "burst"}
	for _, t := range list {
		rows = append(rows, []string{t.Team, strconv.Itoa(t.Keys), strconv.Itoa(t.Priority), rateText(t.Limit), number(t.Limit.Burst)})
	}
	return header, rows
}

func quotaRows(list []quota.Status) (header []string, rows [][]string) {
	header = []string{"team", "requests a second", "burst", "left", "others take a second", "sent here", "alone", "part"}
	for _, st := range list {
		rows = append(rows, []string{
			st.Team, rateText(st.Limit), number(st.Limit.Burst), number(st.Tokens), number(st.Others),
			strconv.FormatInt(st.Total, 10), strconv.FormatBool(st.Alone), strconv.FormatFloat(st.Part, 'f', 3, 64),
		})
	}
	return header, rows
}

// rateText writes a team's rate.
func rateText(l quota.Limit) string {
	if l.Unlimited() {
		return "no limit"
	}
	return number(l.Rate)
}

func number(f float64) string { return strconv.FormatFloat(f, 'f', 1, 64) }

func rolloutRows(list []rollout.Status) (header []string, rows [][]string) {
	header = []string{"service", "version", "state", "share", "since", "of", "by", "kind", "asked", "failed", "slow", "old: asked", "failed", "slow", "judged"}
	for _, st := range list {
		row := []string{
			st.Service, st.Version, string(st.State), number(100*st.Share) + " %", st.Since.Round(time.Second).String(), st.Duration.String(), st.By,
		}
		if len(st.Kinds) == 0 {
			rows = append(rows, append(row, "-", "-", "-", "-", "-", "-", "-", "elsewhere"))
		}
		for _, k := range st.Kinds {
			rows = append(rows, append(row[:len(row):len(row)], kindName(k.Kind), count(k.Newer.Asked), count(k.Newer.Failed), count(k.Newer.Slow),
				count(k.Older.Asked), count(k.Older.Failed), count(k.Older.Slow), judged(k)))
		}
	}
	return header, rows
}

func count(n int64) string { return strconv.FormatInt(n, 10) }

func kindName(name string) string {
	if name == "" {
		return "all"
	}
	return name
}

func judged(k rollout.KindStatus) string {
	switch {
	case k.Bad:
		return "bad"
	case k.Proved:
		return "good"
	}
	return "open"
}

// stopRollout has a version rolled back. Exit code 3 says that the roll-out has gone on
// meanwhile, 4 that whether the store has the word is not known.
func stopRollout(e *command.Env, addr, service string) error {
	if err := order(addr, "/rollouts/"+service+"/stop", "rollout"); err != nil {
		return err
	}
	_, err := fmt.Fprintf(e.Out, "%s: rolled back\n", service)
	return err
}
