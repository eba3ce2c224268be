package control

import (
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/direct"
)

// addQueues declares the command about requests that wait for an endpoint.
func addQueues(a *command.App) {
	a.Add("queues", "List the requests that wait for an endpoint, by service and priority, with the forecast and the numbers of rejected and displaced ones.", func(c *kingpin.CmdClause) func() error {
		addr := c.Flag("balancer", "admin address of a balancer").Required().String()
		return func() error { return show(a.Env, *addr, "/queues", queueRows) }
	})
}

func queueRows(list []direct.QueueStatus) (header []string, rows [][]string) {
	header = []string{"service", "priority", "waiting", "late", "forecast", "free a second", "short", "rejected", "displaced"}
	for _, q := range list {
		forecast, rate := "-", "-" // not known
		if q.Rate > 0 {
			forecast, rate = q.Forecast.Round(time.Millisecond).String(), number(q.Rate)
		}
		rows = append(rows, []string{
			q.Service, strconv.Itoa(q.Priority), strconv.Itoa(q.Waiting), strconv.Itoa(q.Late), forecast, rate,
			strconv.FormatBool(q.Short), strconv.FormatInt(q.Rejected, 10), strconv.FormatInt(q.Displaced, 10),
		})
	}
	return header, rows
}
