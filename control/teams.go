package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/coord/quota"
	"github.com/lotuswing/lotuswing/server"
)

// addTeams declares the commands about teams and their quotas.
func addTeams(a *command.App) {
	a.Add("teams", "List the teams in force, with how many keys each has; never the keys.", func(c *kingpin.CmdClause) func() error {
		addr := c.Flag("balancer", "admin address of a balancer").Required().String()
		return func() error { return show(a.Env, *addr, "/teams", teamStatusRows) }
	})
	a.Add("quota", "Show what is left of the quotas of the teams that have sent anything through a balancer.", func(c *kingpin.CmdClause) func() error {
		addr := c.Flag("balancer", "admin address of a balancer").Required().String()
		return func() error { return show(a.Env, *addr, "/quota", quotaRows) }
	})
}

// show prints what a balancer answers as a table, or as it is.
func show[T any](e *command.Env, addr, path string, rows func([]T) (header []string, rows [][]string)) error {
	client := &http.Client{Timeout: readHeaderTimeout}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %w", path, errorOf(resp))
	}
	var list []T
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if e.Format == "json" {
		return e.JSON(list)
	}
	return e.Table(rows(list))
}

func teamStatusRows(list []server.TeamStatus) (header []string, rows [][]string) {
	header = []string{"team", "keys", "priority", "requests a second", "burst"}
	for _, t := range list {
		rows = append(rows, []string{t.Team, strconv.Itoa(t.Keys), strconv.Itoa(t.Priority), rateText(t.Limit), number(t.Limit.Burst)})
	}
	return header, rows
}

func quotaRows(list []quota.Status) (header []string, rows [][]string) {
	header = []string{"team", "requests a second", "burst", "left", "others take a second", "sent here", "alone", "part"}
	for _, st := range list {
		rows = append(rows, []string{
			st.Team, rateText(st.Limit), number(st.Limit.Burst), number(st.Tokens), number(st.Others),
			strconv.FormatInt(st.Total, 10), strconv.FormatBool(st.Alone), strconv.FormatFloat(st.Part, 'f', 3, 64),
		})
	}
	return header, rows
}

// rateText writes a team's rate.
func rateText(l quota.Limit) string {
	if l.Unlimited() {
		return "no limit"
	}
	return number(l.Rate)
}

func number(f float64) string { return strconv.FormatFloat(f, 'f', 1, 64) }
