package control

import (
	"fmt"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/quarantine"
)

// addQuarantine declares the commands about requests under which endpoints ended.
func addQuarantine(a *command.App) {
	group := a.Group("quarantine", "Requests under which endpoints ended one after the other.")
	a.Sub(group, "list", "List them with the evidence, as one balancer knows them.", func(c *kingpin.CmdClause) func() error {
		addr := c.Flag("balancer", "admin address of a balancer").Required().String()
		return func() error { return listQuarantine(a.Env, *addr) }
	})
	a.Sub(group, "release", "Let one be tried again, at all balancers.", func(c *kingpin.CmdClause) func() error {
		return decree(a.Env, c, "release")
	})
	a.Sub(group, "refuse", "Have one refused at all balancers until it is released.", func(c *kingpin.CmdClause) func() error {
		return decree(a.Env, c, "refuse")
	})
}

func listQuarantine(e *command.Env, addr string) error {
	list, err := ask[quarantine.Status](addr, "/quarantine")
	if err != nil {
		return fmt.Errorf("quarantine: %w", err)
	}
	return put(e, list, quarantineRows)
}

func quarantineRows(list []quarantine.Status) (header []string, rows [][]string) {
	header = []string{"fingerprint", "any query", "step", "for", "service", "kind", "ends", "in the store", "evidence"}
	for _, st := range list {
		left := "-"
		switch {
		case st.Ordered:
			left = "until released"
		case st.For > 0:
			left = st.For.Round(time.Second).String()
		}
		rows = append(rows, []string{
			string(st.Fingerprint), strconv.FormatBool(st.AnyQuery), st.Step, left, st.Service, st.Kind,
			strconv.Itoa(st.Ends), st.Recorded, st.Evidence,
		})
	}
	return header, rows
}

// decree returns a command that has a balancer carry out an operator's word. Exit code 3
// says that somebody else's came first, 4 that all balancers have heard it but whether the
// store has it is not known.
func decree(e *command.Env, c *kingpin.CmdClause, word string) func() error {
	addr := c.Flag("balancer", "admin address of a balancer").Required().String()
	fingerprint := c.Arg("fingerprint", "as 'list', the log or a refusal's message tells it").Required().String()
	return func() error {
		if err := order(*addr, "/quarantine/"+*fingerprint+"/"+word, "quarantine"); err != nil {
			return err
		}
		_, err := fmt.Fprintf(e.Out, "%s: %s\n", *fingerprint, word)
		return err
	}
}
