package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/server"
)

// addStatus declares the command that shows a balancer's account.
func addStatus(a *command.App) {
	a.Add("status", "Show a balancer's endpoints, contracts, queues, versions and measuring.", func(c *kingpin.CmdClause) func() error {
		addr := c.Flag("balancer", "admin address of a balancer").Required().String()
		return func() error { return status(a.Env, *addr) }
	})
}

func status(e *command.Env, addr string) error {
	client := &http.Client{Timeout: readHeaderTimeout}
	resp, err := client.Get("http://" + addr + "/status")
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	var st server.Status
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if e.Format == "json" {
		return e.JSON(st)
	}
	return printStatus(e, st)
}

func printStatus(e *command.Env, st server.Status) error {
	_, _ = fmt.Fprintf(e.Out, "balancer %s in %s: ready %v %s\nin flight %d, contracts held %d, members %v\nversions %v rejected %v\nleaving %v\n\n",
		st.ID, st.Zone, st.Ready, st.Why, st.InFlight, st.Held, st.Members, st.Versions, st.Rejected, st.Leaving)
	var rows [][]string
	for _, service := range sortedServices(st) {
		for _, ep := range st.Services[service].Endpoints {
			rows = append(rows, []string{
				service, ep.VM, ep.Addr, ep.Zone, ep.State, strconv.Itoa(ep.InFlight), strconv.Itoa(ep.Capacity),
				strconv.FormatFloat(ep.Slowness, 'f', 2, 64),
			})
		}
	}
	if err := e.Table([]string{"service", "vm", "addr", "zone", "state", "in flight", "capacity", "slowness"}, rows); err != nil {
		return err
	}
	var queues, measuring [][]string
	for service, home := range st.Homes {
		q := st.Services[service]
		queues = append(queues, []string{service, home, strconv.Itoa(q.Waiting["interactive"]), strconv.Itoa(q.Waiting["patient"])})
	}
	sort.Slice(queues, func(i, j int) bool { return queues[i][0] < queues[j][0] })
	_, _ = fmt.Fprintln(e.Out)
	if err := e.Table([]string{"service", "home", "interactive waiting", "patient waiting"}, queues); err != nil {
		return err
	}
	for _, m := range st.Measuring {
		measuring = append(measuring, []string{
			m.Tenant, strconv.FormatBool(m.Holds), strconv.FormatInt(m.Probes, 10),
			m.Spent.Round(time.Millisecond).String(), m.Allowed.String(),
		})
	}
	_, _ = fmt.Fprintln(e.Out)
	return e.Table([]string{"tenant", "measures", "probes", "spent", "allowed in 1s"}, measuring)
}

func sortedServices(st server.Status) []string {
	var names []string
	for name := range st.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
