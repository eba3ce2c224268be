// Package cli is the command lines of the two binaries.
//
// # Usage
//
//	os.Exit(cli.Control(os.Args[1:], os.Stdout, os.Stderr))
package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/telemetry"
)

// Version of the product.
const Version = "0.2.0"

// Exit codes, as the operators' page lists them.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitLost    = 3
	exitUnknown = 4
)

// exitError carries an exit code with an error.
type exitError struct {
	code int
	err  error
}

// Error returns the error's text.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the error.
func (e exitError) Unwrap() error { return e.err }

// env is what commands write to, and the flags that all of them take.
type env struct {
	out, err io.Writer
	level    string
	format   string
}

func (e *env) logger(name string) (hclog.Logger, error) {
	return telemetry.Logger(name, e.level, e.err)
}

// command is one command with what runs it.
type command struct {
	clause *kingpin.CmdClause
	run    func() error
}

// app builds an application and runs the command that args name.
type app struct {
	kingpin  *kingpin.Application
	env      *env
	commands []command
}

func newApp(name, help string, out, errOut io.Writer) *app {
	a := &app{kingpin: kingpin.New(name, help), env: &env{out: out, err: errOut}}
	a.kingpin.UsageWriter(errOut).ErrorWriter(errOut)
	a.kingpin.Flag("log-level", "trace, debug, info, warn or error").Default("info").StringVar(&a.env.level)
	a.kingpin.Flag("format", "form of tables: table or json").Default("table").EnumVar(&a.env.format, "table", "json")
	a.add("version", "Print version, commit and Go version.", func(*kingpin.CmdClause) func() error {
		return func() error {
			_, err := fmt.Fprintf(out, "lotuswing %s commit %s %s\n", Version, commit(), runtime.Version())
			return err
		}
	})
	return a
}

// add declares a command; build declares its flags and returns what runs it.
func (a *app) add(name, help string, build func(*kingpin.CmdClause) func() error) {
	clause := a.kingpin.Command(name, help)
	a.commands = append(a.commands, command{clause: clause, run: build(clause)})
}

// sub declares a command below another.
func (a *app) sub(parent *kingpin.CmdClause, name, help string, build func(*kingpin.CmdClause) func() error) {
	clause := parent.Command(name, help)
	a.commands = append(a.commands, command{clause: clause, run: build(clause)})
}

func (a *app) main(args []string) int {
	terminated := false
	a.kingpin.Terminate(func(int) { terminated = true })
	chosen, err := a.kingpin.Parse(args)
	if terminated {
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(a.env.err, "%s: %v\n", a.kingpin.Name, err)
		return exitUsage
	}
	for _, c := range a.commands {
		if c.clause.FullCommand() == chosen {
			return a.report(c.run())
		}
	}
	panic("cli: unreachable command " + chosen)
}

func (a *app) report(err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(a.env.err, err)
	var coded exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitFailed
}

func commit() string {
	info, ok := debug.ReadBuildInfo()
	if ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
	}
	return "unknown"
}

// table prints rows under a header, or as JSON objects.
func (e *env) table(header []string, rows [][]string) error {
	if e.format == "json" {
		return e.json(objects(header, rows))
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func objects(header []string, rows [][]string) []map[string]string {
	out := make([]map[string]string, len(rows))
	for i, row := range rows {
		out[i] = map[string]string{}
		for j, cell := range row {
			out[i][strings.ReplaceAll(header[j], " ", "_")] = cell
		}
	}
	return out
}

func (e *env) json(v any) error {
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
