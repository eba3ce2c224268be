// Package command is what the command lines of the two binaries share: flags,
// exit codes, tables.
//
// It owns no state and relies on kingpin for the parsing.
//
// # Usage
//
//	a := command.NewApp("lotusctl", "What it is for.", out, errOut)
//	a.Add("check", "Check a file.", func(c *kingpin.CmdClause) func() error { ... })
//	os.Exit(a.Main(args))
package command

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
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitLost    = 3
	ExitUnknown = 4
)

// ExitError carries an exit code with an error.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the error's text.
func (e ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the error.
func (e ExitError) Unwrap() error { return e.Err }

// Env is what commands write to, and the flags that all of them take.
type Env struct {
	Out, Err io.Writer
	Level    string // of the log
	Format   string // of tables: table or json
}

// Logger returns a logger that writes beside the command's output.
func (e *Env) Logger(name string) (hclog.Logger, error) {
	return telemetry.Logger(name, e.Level, e.Err)
}

// DefaultLevel is the level of the log unless another one is asked for.
const DefaultLevel = "info"

// entry is one command with what runs it.
type entry struct {
	clause *kingpin.CmdClause
	run    func() error
}

// App is a command line with its commands.
type App struct {
	Env      *Env
	kingpin  *kingpin.Application
	commands []entry
}

// NewApp returns an application that has the command "version" alone.
func NewApp(name, help string, out, errOut io.Writer) *App {
	a := &App{kingpin: kingpin.New(name, help), Env: &Env{Out: out, Err: errOut}}
	a.kingpin.UsageWriter(errOut).ErrorWriter(errOut)
	a.kingpin.Flag("log-level", "trace, debug, info, warn or error").Default(DefaultLevel).StringVar(&a.Env.Level)
	a.kingpin.Flag("format", "form of tables: table or json").Default("table").EnumVar(&a.Env.Format, "table", "json")
	a.Add("version", "Print version, commit and Go version.", func(*kingpin.CmdClause) func() error {
		return func() error {
			_, err := fmt.Fprintf(out, "lotuswing %s commit %s %s\n", Version, commit(), runtime.Version())
			return err
		}
	})
	return a
}

// Add declares a command; build declares its flags and returns what runs it.
func (a *App) Add(name, help string, build func(*kingpin.CmdClause) func() error) {
	clause := a.kingpin.Command(name, help)
	a.commands = append(a.commands, entry{clause: clause, run: build(clause)})
}

// Group declares a command that has only commands below it.
func (a *App) Group(name, help string) *kingpin.CmdClause { return a.kingpin.Command(name, help) }

// Sub declares a command below another.
func (a *App) Sub(parent *kingpin.CmdClause, name, help string, build func(*kingpin.CmdClause) func() error) {
	clause := parent.Command(name, help)
	a.commands = append(a.commands, entry{clause: clause, run: build(clause)})
}

// Main runs the command that args name and returns its exit code.
func (a *App) Main(args []string) int {
	terminated := false
	a.kingpin.Terminate(func(int) { terminated = true })
	chosen, err := a.kingpin.Parse(args)
	if terminated {
		return ExitOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(a.Env.Err, "%s: %v\n", a.kingpin.Name, err)
		return ExitUsage
	}
	for _, c := range a.commands {
		if c.clause.FullCommand() == chosen {
			return a.report(c.run())
		}
	}
	panic("command: unreachable command " + chosen)
}

func (a *App) report(err error) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(a.Env.Err, err)
	var coded ExitError
	if errors.As(err, &coded) {
		return coded.Code
	}
	return ExitFailed
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

// Table prints rows under a header, or as JSON objects.
func (e *Env) Table(header []string, rows [][]string) error {
	if e.Format == "json" {
		return e.JSON(objects(header, rows))
	}
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
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

// JSON prints a value, indented.
func (e *Env) JSON(v any) error {
	enc := json.NewEncoder(e.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
