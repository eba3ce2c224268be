package control

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/logread"
)

// addTrace declares the command that finds a request in logs.
func addTrace(a *command.App) {
	a.Add("trace", "Print what the logs of balancers say of one request, and what the balancers believed meanwhile.", func(c *kingpin.CmdClause) func() error {
		request := c.Flag("request", "identity of the request").Required().String()
		before := c.Flag("before", "how long before the request other lines are told").Default("10s").Duration()
		files := c.Arg("file", "logs of one or more balancers").Required().Strings()
		return func() error { return trace(a.Env, *request, *before, *files) }
	})
}

func trace(e *command.Env, request string, before time.Duration, files []string) error {
	sources, closeAll, err := openLogs(files)
	if err != nil {
		return command.ExitError{Code: command.ExitUsage, Err: fmt.Errorf("trace: %w", err)}
	}
	parts, err := logread.Find(request, sources, logread.Options{Before: before})
	if err := errors.Join(err, closeAll()); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	if len(parts) == 0 {
		return command.ExitError{Code: command.ExitFailed, Err: fmt.Errorf("trace: no line names request %q; it was left out as a success under load, or another balancer had it", request)}
	}
	for _, p := range parts {
		writePart(e.Out, p)
	}
	return nil
}

// writePart prints one process's part: the request's own lines are marked, and
// the reason codes that they name are explained below.
func writePart(w io.Writer, p logread.Part) {
	_, _ = fmt.Fprintf(w, "== %s %s\n", p.Source, p.Process)
	var codes []reason.Code
	for _, l := range p.Lines {
		mark := " "
		if l.Request {
			mark = ">"
			codes = append(codes, reason.Code(logread.Value(l.Text, "reason")))
		}
		_, _ = fmt.Fprintf(w, "%s %s\n", mark, l.Text)
	}
	told := map[reason.Code]bool{}
	for _, code := range codes {
		doc, ok := reason.Lookup(code)
		if !ok || told[code] {
			continue
		}
		told[code] = true
		_, _ = fmt.Fprintf(w, "%s: %s. %s\n", code, doc.Title, doc.Text)
	}
}
