package control

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/logread"
)

// addEndpoints declares the command that puts together what balancers saw of endpoints.
func addEndpoints(a *command.App) {
	a.Add("endpoints", "Put together what the logs of balancers say of each endpoint: those first that failed most. Logs above their rate leave successes out, so compare endpoints with each other.", func(c *kingpin.CmdClause) func() error {
		service := c.Flag("service", "only endpoints of this service").String()
		by := c.Flag("by", "which ends to order by: failed (a response of 500 and above), refused (proved not to have run), unknown (may have run) or all").Default("all").Enum("all", "failed", "refused", "unknown")
		most := c.Flag("most", "endpoints to print; 0 for all").Default("20").Int()
		files := c.Arg("file", "logs of balancers").Required().Strings()
		return func() error { return endpoints(a.Env, *service, *by, *most, *files) }
	})
}

var endpointsHeader = []string{"endpoint", "service", "balancers", "attempts", "ran", "failed", "refused", "unknown", "not well", "median"}

func endpoints(e *command.Env, service, by string, most int, files []string) error {
	sources, closeAll, err := openLogs(files)
	if err != nil {
		return command.ExitError{Code: command.ExitUsage, Err: fmt.Errorf("endpoints: %w", err)}
	}
	seen, err := logread.Endpoints(sources)
	if err := errors.Join(err, closeAll()); err != nil {
		return fmt.Errorf("endpoints: %w", err)
	}
	slices.SortStableFunc(seen, func(a, b logread.Seen) int { return cmp.Compare(endsOf(b, by), endsOf(a, by)) })
	var rows [][]string
	for _, s := range seen {
		if service != "" && s.Service != service {
			continue
		}
		if most > 0 && len(rows) == most {
			break
		}
		rows = append(rows, endpointRow(s))
	}
	return e.Table(endpointsHeader, rows)
}

// endsOf returns the number of attempts that ended in a way.
func endsOf(s logread.Seen, by string) int {
	switch by {
	case "failed":
		return s.Failed
	case "refused":
		return s.Refused
	case "unknown":
		return s.Unknown
	}
	return s.Attempts - s.Ran
}

func endpointRow(s logread.Seen) []string {
	return []string{
		s.Endpoint, s.Service,
		strconv.Itoa(s.Balancers), strconv.Itoa(s.Attempts), strconv.Itoa(s.Ran), strconv.Itoa(s.Failed),
		strconv.Itoa(s.Refused), strconv.Itoa(s.Unknown),
		fmt.Sprintf("%.1f %%", 100*s.Share()), s.Median.Round(100 * time.Microsecond).String(),
	}
}

// openLogs opens logs to be read, and returns how to close them.
func openLogs(files []string) (sources []logread.Source, closeAll func() error, err error) {
	var opened []*os.File
	closeAll = func() (err error) {
		for _, f := range opened {
			err = errors.Join(err, f.Close())
		}
		return err
	}
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return nil, nil, errors.Join(err, closeAll())
		}
		opened = append(opened, f)
		sources = append(sources, logread.Source{Name: file, Log: f})
	}
	return sources, closeAll, nil
}
