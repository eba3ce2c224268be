package control

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/coord/document"
	"github.com/lotuswing/lotuswing/coord/store"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/storeclient"
	"github.com/lotuswing/lotuswing/tenant"
)

const (
	readHeaderTimeout = 10 * time.Second
	configPrefix      = "config/"
	watchWait         = 30 * time.Second
)

// addEditing declares the commands that read and edit shared configuration.
func addEditing(a *command.App) {
	a.Add("apply", "Write a tenant's document: exit 3 on a lost race, 4 where the outcome cannot be learnt yet.", func(c *kingpin.CmdClause) func() error {
		url := c.Flag("store", "URL of the store").Required().String()
		base := c.Flag("base", "the version that the edit started from; -1 for the present one").Default("-1").Int64()
		editor := c.Flag("editor", "who edits").Default(os.Getenv("USER")).String()
		id := c.Flag("edit-id", "identity of the edit, to try again after an unknown outcome").String()
		file := c.Arg("file", "the document").Required().String()
		return func() error { return apply(a.Env, *url, *file, *editor, *id, *base) }
	})
	a.Add("get", "Print the document in the store.", func(c *kingpin.CmdClause) func() error {
		url := c.Flag("store", "URL of the store").Required().String()
		name := c.Arg("tenant", "the tenant").Required().String()
		return func() error { return get(a.Env, *url, *name) }
	})
	a.Add("history", "Print the last edits.", func(c *kingpin.CmdClause) func() error {
		url := c.Flag("store", "URL of the store").Required().String()
		name := c.Arg("tenant", "the tenant").Required().String()
		return func() error { return history(a.Env, *url, *name) }
	})
	a.Add("watch", "Print each new version as it appears.", func(c *kingpin.CmdClause) func() error {
		url := c.Flag("store", "URL of the store").Required().String()
		name := c.Arg("tenant", "the tenant").Required().String()
		return func() error { return watch(a.Env, *url, *name) }
	})
}

func apply(e *command.Env, url, file, editor, id string, base int64) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	cfg, err := tenant.Parse(file, raw)
	if err != nil {
		return command.ExitError{Code: command.ExitUsage, Err: err}
	}
	body, err := tenant.Standard(raw)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	client := storeclient.New(url, storeclient.Options{})
	key := configPrefix + cfg.Tenant
	current, err := fetch(ctx, client, key)
	if err != nil {
		return command.ExitError{Code: command.ExitUnknown, Err: err}
	}
	if base < 0 {
		base = int64(current.Version)
	}
	if id == "" {
		id = rand.Text()
	}
	printChange(e, current, cfg)
	p := document.Proposal{ID: id, Editor: editor, Base: uint64(base), Body: body}
	out, err := document.Apply(ctx, client, pause.Clock{}, key, p, document.ApplyOptions{})
	return reportApply(e, p, cfg, out, err)
}

func reportApply(e *command.Env, p document.Proposal, cfg *tenant.Config, out document.Outcome, err error) error {
	switch out.Result {
	case document.Won:
		_, err = fmt.Fprintf(e.Out, "%s: version %d is yours (edit %s)\n", cfg.Tenant, out.Version, p.ID)
		return err
	case document.Lost:
		w := out.Winner
		printChange(e, out.Current, cfg)
		return command.ExitError{Code: command.ExitLost, Err: fmt.Errorf("apply: lost the race: version %d is the edit of %q (edit %s, %s); yours had no effect. Look at the difference above and apply again",
			w.Version, w.Editor, w.ID, w.At.Format(time.RFC3339))}
	}
	return command.ExitError{Code: command.ExitUnknown, Err: fmt.Errorf("apply: outcome unknown; run again with --edit-id %s --base %d, which cannot apply the edit twice: %w", p.ID, p.Base, err)}
}

// printChange shows what the edit changes for each team against a version.
func printChange(e *command.Env, current document.Document, next *tenant.Config) {
	var before [][]string
	if current.Version > 0 {
		if cfg, err := tenant.Parse("store", current.Body); err == nil {
			_, before = teamRows(cfg)
		}
	}
	_, after := teamRows(next)
	printMissing(e, "- ", before, after)
	printMissing(e, "+ ", after, before)
}

func printMissing(e *command.Env, mark string, rows, others [][]string) {
	known := map[string]bool{}
	for _, row := range others {
		known[strings.Join(row, " ")] = true
	}
	for _, row := range rows {
		if text := strings.Join(row, " "); !known[text] {
			_, _ = fmt.Fprintln(e.Out, mark+text)
		}
	}
}

// fetch reads a document; one that does not exist yet has version 0.
func fetch(ctx context.Context, client *storeclient.Client, key string) (document.Document, error) {
	entry, err := client.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return document.Document{}, nil
	}
	if err != nil {
		return document.Document{}, err
	}
	return document.Parse(entry.Value)
}

func get(e *command.Env, url, name string) error {
	doc, err := fetch(context.Background(), storeclient.New(url, storeclient.Options{}), configPrefix+name)
	if err != nil {
		return err
	}
	if doc.Version == 0 {
		return fmt.Errorf("get: tenant %q has no document", name)
	}
	var pretty bytes.Buffer
	if err := json.Indent(&pretty, doc.Body, "", "\t"); err != nil {
		return fmt.Errorf("get: %w", err)
	}
	_, err = fmt.Fprintf(e.Out, "// version %d by %s\n%s\n", doc.Version, doc.Last().Editor, pretty.String())
	return err
}

func history(e *command.Env, url, name string) error {
	doc, err := fetch(context.Background(), storeclient.New(url, storeclient.Options{}), configPrefix+name)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, edit := range doc.Edits {
		rows = append(rows, []string{strconv.FormatUint(edit.Version, 10), edit.Editor, edit.ID, edit.At.Format(time.RFC3339)})
	}
	return e.Table([]string{"version", "editor", "edit", "at"}, rows)
}

func watch(e *command.Env, url, name string) error {
	ctx, stop := untilSignal()
	defer stop()
	client := storeclient.New(url, storeclient.Options{})
	var revision uint64
	for ctx.Err() == nil {
		entry, err := client.Watch(ctx, configPrefix+name, revision, watchWait)
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		revision = entry.Revision
		doc, err := document.Parse(entry.Value)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(e.Out, "version %d by %s (edit %s)\n", doc.Version, doc.Last().Editor, doc.Last().ID)
	}
	return nil
}
