// Package cli is the command line of lotuswing, one balancer process. It links
// nothing that only operators and developers need.
//
// It owns the process: signals, the log, the memory limit, and the reading of changed
// settings (reload.go). It relies on package server for the rest.
//
// # Usage
//
//	os.Exit(cli.Balancer(os.Args[1:], os.Stdout, os.Stderr))
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/platform"
	"github.com/lotuswing/lotuswing/server"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/telemetry"
)

// Balancer runs the command line of lotuswing and returns its exit code.
func Balancer(args []string, out, errOut io.Writer) int {
	a := command.NewApp("lotuswing", "A load balancer for long sessions that must never be dropped.", out, errOut)
	a.Add("run", "Run a balancer until SIGTERM, which is a planned stop.", func(c *kingpin.CmdClause) func() error {
		file := c.Flag("settings", "the settings file").Envar(platform.SettingsVariable).Required().String()
		clock := c.Flag("suspended-file", "for soaks: a file that tells for how long the VM was suspended, such as 3s, in place of the kernel").Hidden().String()
		paths := c.Flag("partition-file", "for soaks: a file that names how the paths to endpoints are lost, such as silent").Hidden().String()
		return func() error { return runBalancer(a.Env, *file, simulation{clock: *clock, paths: *paths}) }
	})
	a.Add("check", "Check a settings file.", func(c *kingpin.CmdClause) func() error {
		file := c.Flag("settings", "the settings file").Required().String()
		return func() error {
			if _, err := settings.Load(*file); err != nil {
				return command.ExitError{Code: command.ExitUsage, Err: err}
			}
			_, err := fmt.Fprintf(out, "%s: ok\n", *file)
			return err
		}
	})
	return a.Main(args)
}

// simulation names the files by which a soak simulates faults of the VM; empty for none.
type simulation struct {
	clock string // for how long the VM was suspended
	paths string // how the paths to endpoints are lost
}

func runBalancer(e *command.Env, file string, simulated simulation) error {
	signals, stopAsked, reloads := catchSignals() // before anything that takes time: a SIGHUP that is not caught ends the process
	s, err := settings.Load(file)
	if err != nil {
		return command.ExitError{Code: command.ExitUsage, Err: err}
	}
	if e.Level == "info" {
		e.Level = s.Log
	}
	queue := telemetry.NewQueue(e.Out)
	defer queue.Close(logFlushWait)
	log, err := telemetry.Logger("lotuswing", e.Level, queue)
	if err != nil {
		return command.ExitError{Code: command.ExitUsage, Err: err}
	}
	limitMemory(s.Memory)
	cfg := serverConfig(s, log, e)
	if simulated.clock != "" {
		cfg.Suspended = suspendedBy(simulated.clock, log)
	}
	if simulated.paths != "" {
		cfg.Policy = cfg.Policy.WithDial(dialPartitionedBy(simulated.paths, log))
	}
	cfg.Requests = telemetry.NewRequestLogger(queue, s.LogRate)
	srv, err := server.Start(cfg)
	if err != nil {
		return err
	}
	go (&reloader{file: file, current: s, log: log, server: srv}).run(reloads)
	asked := <-stopAsked
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals // a second signal ends the waiting
		cancel()
	}()
	cut, err := srv.Stop(ctx, asked)
	log.Info("stopped", "cut", cut)
	return err
}

// catchSignals returns the signals that follow the one that stops the process, when that one came, and
// those that make the process read its settings again.
func catchSignals() (more <-chan os.Signal, asked <-chan time.Time, reloads chan os.Signal) {
	stops, first := make(chan os.Signal, 2), make(chan time.Time, 1)
	reloads = make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		<-stops
		first <- time.Now()
	}()
	return stops, first, reloads
}

// suspendedBy returns what tells for how long the VM was suspended from a file. One that is
// not there or cannot be read tells of nothing.
func suspendedBy(file string, log hclog.Logger) func() time.Duration {
	return func() time.Duration {
		raw, err := os.ReadFile(file)
		if errors.Is(err, os.ErrNotExist) {
			return 0
		}
		var d time.Duration
		if err == nil {
			d, err = time.ParseDuration(string(raw))
		}
		if err != nil {
			log.Error("suspension not read", "error", err)
		}
		return d
	}
}

// logFlushWait bounds the writing of the last log lines.
const logFlushWait = 500 * time.Millisecond

// serverConfig chooses the source and the policy that the settings ask for.
func serverConfig(s settings.Settings, log hclog.Logger, e *command.Env) server.Config {
	cfg := server.Config{Settings: s, Log: log, Traces: e.Err}
	if s.Discovery.Kind != settings.Platform {
		return cfg
	}
	store := platform.NewStore(s.Discovery.URL)
	cfg.Source, cfg.Relays = store, store
	cfg.Policy = platform.Policy(s.Retries)
	return cfg
}

// A balancer uses 7 to 20 MB (MEASUREMENTS, sweeps).
const (
	heapPart       = 0.5 // of it that the heap may reach before it is collected at any cost
	collectPercent = 60  // growth of the heap between two collections
)

// limitMemory keeps the heap well below what the process may use.
func limitMemory(mebibytes int) {
	if mebibytes == 0 {
		return
	}
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(float64(mebibytes) * heapPart * (1 << 20)))
}
