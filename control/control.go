// Package control is the command line of lotusctl, with which operators and
// developers use the product. What cannot be printed is lost: there is nobody else
// to tell.
//
// # Usage
//
//	os.Exit(control.Main(os.Args[1:], os.Stdout, os.Stderr))
package control

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/load"
	"github.com/lotuswing/lotuswing/telemetry"
	"github.com/lotuswing/lotuswing/tenant"
)

// Main runs the command line of lotusctl and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	a := command.NewApp("lotusctl", "The operators' command line of lotuswing.", out, errOut)
	a.Add("check", "Check a tenant's document and print what each team becomes.", func(c *kingpin.CmdClause) func() error {
		file := c.Arg("file", "the document").Required().String()
		return func() error { return checkTenant(a.Env, *file) }
	})
	a.Add("explain", "Explain a reason code, or list all.", func(c *kingpin.CmdClause) func() error {
		code := c.Arg("code", "such as LW2002").String()
		markdown := c.Flag("markdown", "print the whole table as a page").Bool()
		events := c.Flag("events", "list the log lines about requests and their fields").Bool()
		return func() error {
			if *events {
				_, err := io.WriteString(a.Env.Out, telemetry.EventsText())
				return err
			}
			return explain(a.Env, *code, *markdown)
		}
	})
	a.Add("load", "Make open-loop load and print a table of latencies.", func(c *kingpin.CmdClause) func() error {
		return loadCommand(a.Env, c)
	})
	addStandins(a)
	addEditing(a)
	addStatus(a)
	addQuarantine(a)
	addTeams(a)
	addLimits(a)
	addWarmups(a)
	addSaid(a)
	addQueues(a)
	addPaths(a)
	addStops(a)
	addStore(a)
	addDemo(a)
	addReplay(a)
	addTrace(a)
	addEndpoints(a)
	addLate(a)
	addSoak(a)
	return a.Main(args)
}

func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

func checkTenant(e *command.Env, file string) error {
	cfg, err := tenant.Load(file)
	if err != nil {
		return command.ExitError{Code: command.ExitUsage, Err: err}
	}
	return e.Table(teamRows(cfg))
}

func teamRows(cfg *tenant.Config) (header []string, rows [][]string) {
	header = []string{"tenant", "team", "kind", "methods", "path", "service", "class", "repeatable", "patience", "timeout"}
	for _, team := range cfg.Teams {
		for _, k := range team.Kinds {
			rows = append(rows, []string{
				cfg.Tenant, team.Name, k.Name, fmt.Sprint(k.Methods), k.Path, k.Service, k.Class.String(),
				strconv.FormatBool(k.Repeatable), k.Patience.String(), k.Timeout.String(),
			})
		}
	}
	return header, rows
}

func explain(e *command.Env, code string, markdown bool) error {
	if markdown {
		_, err := io.WriteString(e.Out, reason.Markdown())
		return err
	}
	if code == "" {
		var rows [][]string
		for _, d := range reason.Table {
			rows = append(rows, []string{string(d.Code), strconv.Itoa(d.Status), string(d.Severity), d.Title})
		}
		return e.Table([]string{"code", "status", "severity", "title"}, rows)
	}
	doc, ok := reason.Lookup(reason.Code(code))
	if !ok {
		return command.ExitError{Code: command.ExitUsage, Err: fmt.Errorf("explain: no code %q; 'lotusctl explain' lists all", code)}
	}
	_, err := io.WriteString(e.Out, doc.String())
	return err
}

func loadCommand(e *command.Env, c *kingpin.CmdClause) func() error {
	var p load.Plan
	c.Flag("target", "base URL of a balancer; may be repeated").Required().StringsVar(&p.Targets)
	c.Flag("host", "the Host header, which names the team").Default("medina.bennani").StringVar(&p.Host)
	c.Flag("method", "the method").Default("GET").StringVar(&p.Method)
	c.Flag("path", "the path").Default("/cases/1").StringVar(&p.Path)
	c.Flag("body", "the body").StringVar(&p.Body)
	c.Flag("rate", "requests a second").Default("50").Float64Var(&p.Rate)
	c.Flag("for", "how long").Default("10s").DurationVar(&p.For)
	c.Flag("timeout", "of one request").Default("30s").DurationVar(&p.Timeout)
	c.Flag("pipeline", "requests that may wait on a connection for their answers").Default("1").IntVar(&p.Pipeline)
	return func() error {
		ctx, stop := untilSignal()
		defer stop()
		p.Name = fmt.Sprintf("load-%d", os.Getpid())
		r, err := load.Run(ctx, p)
		if err != nil {
			return command.ExitError{Code: command.ExitUsage, Err: err}
		}
		return e.Table(loadHeader, [][]string{loadRow(p.Host, p.Method+" "+p.Path, r)})
	}
}

var loadHeader = []string{"host", "request", "calls", "ran", "not run", "may have run", "broken", "p50", "p99", "p99.9"}

func loadRow(host, request string, r *load.Report) []string {
	return []string{
		host, request,
		strconv.FormatInt(r.Calls, 10), strconv.FormatInt(r.Ran, 10), strconv.FormatInt(r.NotRun, 10),
		strconv.FormatInt(r.MayHaveRun, 10), strconv.FormatInt(r.Broken, 10),
		quantile(r, 0.5), quantile(r, 0.99), quantile(r, 0.999),
	}
}

func quantile(r *load.Report, q float64) string {
	return r.Quantile(q).Round(100 * time.Microsecond).String()
}
