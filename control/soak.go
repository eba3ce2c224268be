package control

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/soak"
)

// addSoak declares the command that runs a fault soak.
func addSoak(a *command.App) {
	a.Add("soak", "Run balancers as processes under faults and check the product's promises: exit 1 where one is broken.", func(c *kingpin.CmdClause) func() error {
		cfg := soak.Config{Timed: true}
		c.Flag("seed", "seed of the faults; 0 for a fresh one").Uint64Var(&cfg.Seed)
		c.Flag("for", "how long faults go on").Default("20s").DurationVar(&cfg.For)
		c.Flag("balancers", "balancer processes").Default("4").IntVar(&cfg.Balancers)
		c.Flag("callers", "callers").Default("8").IntVar(&cfg.Callers)
		c.Flag("gap", "mean pause between two faults").Default("300ms").DurationVar(&cfg.Gap)
		c.Flag("together", "mean time between two losses of all balancers at once; 0 for none").Default("0s").DurationVar(&cfg.Together)
		c.Flag("half", "mean time between two losses of half of the balancers at once; 0 for none").Default("0s").DurationVar(&cfg.Half)
		c.Flag("empty", "mean time between two emptyings of an availability zone, whose endpoints are cold when it is taken back; 0 for none").Default("0s").DurationVar(&cfg.Empty)
		c.Flag("cold", "mean time between two turns of endpoints that become cold at any moment, under bursts of requests; 0 for none").Default("0s").DurationVar(&cfg.Cold)
		c.Flag("crash", "mean time between two faults about requests that crash endpoints, damaged entries and suspended VMs; 0 for none").Default("0s").DurationVar(&cfg.Crash)
		c.Flag("limit", "mean time between two endpoints that begin to name how many requests a second they take; 0 for none").Default("0s").DurationVar(&cfg.Limit)
		c.Flag("words", "mean time between two endpoints that say in their answers that they leave, or want no requests for a while; 0 for none").Default("0s").DurationVar(&cfg.Words)
		c.Flag("teams", "mean time between two teams that send many times their quotas or lose a key; 0 for callers without keys").Default("0s").DurationVar(&cfg.Teams)
		c.Flag("partition", "mean time between two losses of the paths of some balancers to all endpoints; 0 for none").Default("0s").DurationVar(&cfg.Partition)
		c.Flag("restore", "mean time between two restores of the store from a copy; 0 for none").Default("0s").DurationVar(&cfg.Restore)
		c.Flag("odd", "mean time between two invalid responses, load reports that cannot be true, or parts of the configuration that cannot be used; 0 for none").Default("0s").DurationVar(&cfg.Odd)
		c.Flag("stops", "mean time between two series of planned stops of most balancers, under callers that keep connections; 0 for none").Default("0s").DurationVar(&cfg.Stops)
		c.Flag("keep", "folder for the logs of all processes").StringVar(&cfg.Keep)
		binary := c.Flag("binary", "the balancer's program").Default("target/lotuswing").ExistingFile()
		return func() error { return runSoak(a.Env, cfg, *binary) }
	})
}

func runSoak(e *command.Env, cfg soak.Config, binary string) error {
	log, err := e.Logger("soak")
	if err != nil {
		return command.ExitError{Code: command.ExitUsage, Err: err}
	}
	cfg.Log = log
	if cfg.Seed == 0 {
		cfg.Seed = uint64(time.Now().UnixNano())
	}
	cfg.Command = func(settings, logFile string) *exec.Cmd {
		cmd := exec.Command(binary, "run", "--settings", settings)
		if f, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
			cmd.Stdout, cmd.Stderr = f, f
		}
		return cmd
	}
	ctx, cancel := untilSignal()
	defer cancel()
	result, err := soak.Run(ctx, cfg)
	if err != nil {
		return err
	}
	return printSoak(e, result)
}

func printSoak(e *command.Env, r soak.Result) error {
	var rows [][]string
	for status, n := range r.Statuses {
		rows = append(rows, []string{"status", fmt.Sprint(status), fmt.Sprint(n)})
	}
	for kind, n := range r.Faults {
		rows = append(rows, []string{"fault", kind, fmt.Sprint(n)})
	}
	slices.SortFunc(rows, slices.Compare[[]string])
	if err := e.Table([]string{"what", "kind", "count"}, rows); err != nil {
		return err
	}
	for _, v := range r.Violations {
		_, _ = fmt.Fprintln(e.Out, v)
	}
	_, _ = fmt.Fprintf(e.Out, "seed %d, requests %d, violations: %d\n", r.Seed, r.Requests, len(r.Violations))
	if len(r.Violations) > 0 {
		return command.ExitError{Code: command.ExitFailed, Err: fmt.Errorf("soak: %d promises broken with seed %d", len(r.Violations), r.Seed)}
	}
	return nil
}
