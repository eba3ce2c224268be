package control

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/demo"
)

// demoText says what a demo shows and how to end it.
const demoText = `The whole product in this process: 2 tenants with 65 endpoints behind 3 balancers, and
beside them 3 balancers on the platform, where one request crashes the endpoint that runs it.
While it runs, one endpoint of each tenant leaves, one turns slow, and the configuration changes.
`

const (
	// showTerminal and showFile are between two tables on a terminal, where each takes the
	// place of the last one, and elsewhere.
	showTerminal = time.Second
	showFile     = 10 * time.Second
)

// addDemo declares the demonstration in one process.
func addDemo(a *command.App) {
	a.Add("demo", "Run the whole product in one process and check its promises: exit 1 on a violation.", func(c *kingpin.CmdClause) func() error {
		span := c.Flag("for", "how long; without it, until Ctrl-C").Duration()
		return func() error {
			log, err := demoLog(a.Env)
			if err != nil {
				return command.ExitError{Code: command.ExitUsage, Err: err}
			}
			ctx, stop := untilSignal()
			defer stop()
			_, _ = io.WriteString(a.Env.Err, demoText+howToEnd(*span))
			shown := &screen{out: a.Env.Err, terminal: isTerminal(a.Env.Err)}
			report, err := demo.Run(ctx, demo.Options{For: *span, Log: log, Show: shown.show, ShowEvery: shown.every()})
			if err != nil {
				return err
			}
			return printDemo(a.Env, report)
		}
	})
}

// howToEnd says when the demo ends.
func howToEnd(span time.Duration) string {
	if span > 0 {
		return fmt.Sprintf("It ends after %v, or at Ctrl-C, with a table of all and the promises that were broken.\n\n", span)
	}
	return "Press Ctrl-C to end it and see a table of all and the promises that were broken.\n\n"
}

// demoLog returns the log of the parts, which says nothing unless a level is asked for: what
// they warn of belongs to what is shown, and nobody has to do anything about it.
func demoLog(e *command.Env) (hclog.Logger, error) {
	if e.Level == command.DefaultLevel {
		return hclog.NewNullLogger(), nil
	}
	return e.Logger("demo")
}

// isTerminal reports whether somebody watches what is written.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// screen shows the progress of a demo.
type screen struct {
	out      io.Writer
	terminal bool
	lines    int // of the last table
}

func (s *screen) every() time.Duration {
	if s.terminal {
		return showTerminal
	}
	return showFile
}

// show writes a table, on a terminal over the last one.
func (s *screen) show(p demo.Progress) {
	var b strings.Builder
	if s.terminal && s.lines > 0 {
		fmt.Fprintf(&b, "\x1b[%dA\x1b[J", s.lines)
	}
	table := progressText(p)
	b.WriteString(table)
	s.lines = strings.Count(table, "\n")
	_, _ = io.WriteString(s.out, b.String()) // nobody is left to tell
}

// progressText is the table of what callers have been told so far.
func progressText(p demo.Progress) string {
	var b strings.Builder
	event := "nothing is disturbed yet, but for the request that crashes endpoints"
	if len(p.Events) > 0 {
		event = p.Events[len(p.Events)-1]
	}
	fmt.Fprintf(&b, "after %v: %s\n", p.Elapsed.Round(time.Second), event)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "tenant\tkind\tcalls\tran\tnot run\tmay have run\twhy not ('lotusctl explain CODE')")
	for _, k := range p.Kinds {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", k.Tenant, k.Kind, k.Calls, k.Ran, k.NotRun, k.Open, k.Why())
	}
	_ = w.Flush() // a Builder never fails
	return b.String()
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
