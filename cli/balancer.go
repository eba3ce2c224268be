package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/server"
	"github.com/lotuswing/lotuswing/settings"
)

// Balancer runs the command line of lotuswing and returns its exit code.
func Balancer(args []string, out, errOut io.Writer) int {
	a := newApp("lotuswing", "A load balancer for long sessions that must never be dropped.", out, errOut)
	a.add("run", "Run a balancer until SIGTERM, which is a planned stop.", func(c *kingpin.CmdClause) func() error {
		file := c.Flag("settings", "the settings file").Required().String()
		return func() error { return runBalancer(a.env, *file) }
	})
	a.add("check", "Check a settings file.", func(c *kingpin.CmdClause) func() error {
		file := c.Flag("settings", "the settings file").Required().String()
		return func() error {
			if _, err := settings.Load(*file); err != nil {
				return exitError{exitUsage, err}
			}
			_, err := fmt.Fprintf(out, "%s: ok\n", *file)
			return err
		}
	})
	return a.main(args)
}

func runBalancer(e *env, file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return exitError{exitUsage, err}
	}
	if e.level == "info" {
		e.level = s.Log
	}
	log, err := e.logger("lotuswing")
	if err != nil {
		return exitError{exitUsage, err}
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	srv, err := server.Start(server.Config{Settings: s, Log: log, Traces: e.err})
	if err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals // a second signal ends the waiting
		cancel()
	}()
	cut, err := srv.Stop(ctx)
	log.Info("stopped", "cut", cut)
	return err
}
