package control

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/capacity"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/experiment"
)

// addExperiment declares the measurement of policies in virtual time.
func addExperiment(a *command.App) {
	a.Add("experiment", "Measure the policies in virtual time.", func(c *kingpin.CmdClause) func() error {
		quick := c.Flag("quick", "a smaller matrix, within 20 s").Bool()
		dir := c.Flag("out", "also write tables and plots to this directory").String()
		what := c.Arg("what", "policies, or capacity for the slopes of docs/CAPACITY.md").Default("policies").Enum("policies", "capacity")
		page := c.Flag("page", "with capacity: a page whose tables are rewritten").String()
		return func() error {
			if *what == "capacity" {
				return measureCapacity(a.Env, *page)
			}
			return runExperiment(a.Env, *quick, *dir)
		}
	})
}

// Marks in the page between which the tables stand.
const (
	tablesBegin = "<!-- tables: lotusctl experiment capacity --page docs/CAPACITY.md -->\n"
	tablesEnd   = "<!-- end of tables -->\n"
)

func measureCapacity(e *command.Env, page string) error {
	var tables bytes.Buffer
	if err := capacity.WriteMarkdown(&tables, capacity.Measure()); err != nil {
		return err
	}
	if page == "" {
		_, err := e.Out.Write(tables.Bytes())
		return err
	}
	raw, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	before, rest, ok := strings.Cut(string(raw), tablesBegin)
	_, after, ok2 := strings.Cut(rest, tablesEnd)
	if !ok || !ok2 {
		return fmt.Errorf("experiment: %s has no place for the tables", page)
	}
	text := before + tablesBegin + tables.String() + tablesEnd + after
	if err := os.WriteFile(page, []byte(text), 0o644); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	return nil
}

func runExperiment(e *command.Env, quick bool, dir string) error {
	size := experiment.Full
	if quick {
		size = experiment.Quick
	}
	results := experiment.Run(experiment.Matrix(size))
	if dir != "" {
		if err := writeResults(dir, results); err != nil {
			return err
		}
	}
	if e.Format == "json" {
		return experiment.WriteJSON(e.Out, results)
	}
	if err := experiment.WriteTable(e.Out, results); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(e.Out)
	return experiment.WriteComparison(e.Out, results)
}

func writeResults(dir string, results []experiment.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, "results.txt"))
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	defer func() { _ = f.Close() }()
	if err := experiment.WriteTable(f, results); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(f)
	if err := experiment.WriteComparison(f, results); err != nil {
		return err
	}
	return experiment.Plot(dir, results)
}
