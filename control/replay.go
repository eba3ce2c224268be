package control

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/coord/contract"
)

// addReplay declares the command that explains a recorded trace.
func addReplay(a *command.App) {
	a.Add("replay", "Make the decisions of a recorded trace again and explain each: exit 1 where one differs.", func(c *kingpin.CmdClause) func() error {
		file := c.Arg("file", "a trace, from /trace?service=TENANT/SERVICE&for=10s at the admin address of the service's home").Required().String()
		return func() error { return replay(a.Env, *file) }
	})
}

func replay(e *command.Env, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("replay: %w", err)
	}
	defer func() { _ = f.Close() }()
	steps, differ := 0, 0
	err = contract.Replay(f, func(r contract.Replayed) {
		steps++
		_, _ = fmt.Fprint(e.Out, r.Explain())
		if !r.Same() {
			differ++
			_, _ = fmt.Fprintf(e.Out, "  !! line %d of the trace has %v\n", r.Line, r.Step.Decisions)
		}
	})
	if err != nil {
		return command.ExitError{Code: command.ExitUsage, Err: fmt.Errorf("replay: %s: %w", file, err)}
	}
	_, _ = fmt.Fprintf(e.Out, "%d steps, %d differ\n", steps, differ)
	if differ > 0 {
		return command.ExitError{Code: command.ExitFailed, Err: fmt.Errorf("replay: %d of %d steps differ", differ, steps)}
	}
	return nil
}
