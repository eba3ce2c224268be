package control

import (
	"fmt"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/relay"
)

// addStore declares the command about what balancers know of the store.
func addStore(a *command.App) {
	a.Add("store", "Show what balancers know of the store's content: era and revision, from whom, and how old it may be.", func(c *kingpin.CmdClause) func() error {
		addrs := c.Flag("balancer", "admin address of a balancer; may be repeated").Required().Strings()
		return func() error { return showStore(a.Env, *addrs) }
	})
}

// storeOf is what one balancer knows of the store. A balancer that does not answer has an error only.
type storeOf struct {
	Balancer string
	Store    directory.Status
	Copy     relay.Status
	Error    string `json:",omitempty"`
}

// showStore shows what all balancers know that answer. It fails if none does.
func showStore(e *command.Env, addrs []string) error {
	var list []storeOf
	var failed error
	answered := false
	for _, addr := range addrs {
		known := storeOf{Balancer: addr}
		if err := askStatus(addr, &known); err != nil {
			failed = fmt.Errorf("%s: %w", addr, err)
			known.Error = err.Error()
		}
		answered = answered || known.Error == ""
		list = append(list, known)
	}
	if !answered {
		return failed
	}
	return put(e, list, storeRows)
}

func storeRows(list []storeOf) (header []string, rows [][]string) {
	header = []string{"balancer", "era", "revision", "behind", "holding", "age", "follows", "last change by", "within", "read again", "unusable parts"}
	for _, known := range list {
		if known.Error != "" {
			rows = append(rows, []string{known.Balancer, "no answer", "-", "-", "-", "-", "-", "-", "-", "-", "-"})
			continue
		}
		st := known.Store
		rows = append(rows, []string{
			known.Balancer, strconv.FormatUint(st.Era, 10), strconv.FormatUint(st.Revision, 10), strconv.FormatBool(st.Behind), strconv.FormatBool(st.Holding),
			st.Age.Round(time.Millisecond).String(), known.Copy.Following, string(st.LastVia), st.LastAge.Round(time.Millisecond).String(), strconv.FormatInt(st.Rereads, 10), strconv.Itoa(st.Unusable),
		})
	}
	return header, rows
}
