package control

import (
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/demo"
)

// addDemo declares the demonstration in one process.
func addDemo(a *command.App) {
	a.Add("demo", "Run the whole product in one process and check its promises: exit 1 on a violation.", func(c *kingpin.CmdClause) func() error {
		span := c.Flag("for", "how long; without it, until interrupted").Duration()
		return func() error {
			if a.Env.Level == "info" {
				a.Env.Level = "warn" // the table is what a newcomer looks for
			}
			log, err := a.Env.Logger("demo")
			if err != nil {
				return command.ExitError{Code: command.ExitUsage, Err: err}
			}
			ctx, stop := untilSignal()
			defer stop()
			_, _ = fmt.Fprintln(a.Env.Err, "demo: 2 tenants, 65 endpoints, 3 balancers; one endpoint of each tenant drains, one turns slow, the configuration changes; beside them 3 balancers on the platform, where one request crashes endpoints")
			report, err := demo.Run(ctx, demo.Options{For: *span, Log: log})
			if err != nil {
				return err
			}
			return printDemo(a.Env, report)
		}
	})
}

func printDemo(e *command.Env, r *demo.Report) error {
	header := []string{"tenant", "kind", "calls", "ran", "not run", "may have run", "p50", "p99", "p99.9", "measuring", "allowed"}
	var rows [][]string
	for _, row := range r.Rows {
		l := row.Load
		var spent, allowed string
		for _, c := range r.Costs {
			if c.Tenant == row.Tenant {
				spent, allowed = c.Spent.String(), c.Allowed.String()
			}
		}
		rows = append(rows, []string{
			row.Tenant, row.Kind, strconv.FormatInt(l.Calls, 10), strconv.FormatInt(l.Ran, 10),
			strconv.FormatInt(l.NotRun, 10), strconv.FormatInt(l.MayHaveRun+l.Broken, 10),
			quantile(l, 0.5), quantile(l, 0.99), quantile(l, 0.999), spent, allowed,
		})
	}
	if err := e.Table(header, rows); err != nil {
		return err
	}
	for _, v := range r.Violations {
		_, _ = fmt.Fprintln(e.Err, "violation:", v)
	}
	_, _ = fmt.Fprintf(e.Out, "violations: %d\n", len(r.Violations))
	if len(r.Violations) > 0 {
		return command.ExitError{Code: command.ExitFailed, Err: fmt.Errorf("demo: %d violations", len(r.Violations))}
	}
	return nil
}
