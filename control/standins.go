package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/standin"
)

// addStandins declares the stand-ins of what surrounds the balancers.
func addStandins(a *command.App) {
	parent := a.Group("standin", "Run a stand-in of the platform's store or of an endpoint.")
	a.Sub(parent, "store", "The key-value service and the list of VMs.", func(c *kingpin.CmdClause) func() error {
		addr := c.Flag("listen", "address").Required().String()
		return func() error { return serveUntilSignal(a.Env, *addr, standin.NewStore(standin.StoreOptions{})) }
	})
	a.Sub(parent, "endpoint", "A server behind the balancer.", func(c *kingpin.CmdClause) func() error {
		var opts standin.EndpointOptions
		addr := c.Flag("listen", "address").Required().String()
		c.Flag("slots", "requests served at a time").Default("3").IntVar(&opts.Slots)
		c.Flag("queue", "requests that wait for a slot before others are shed").Default("0").IntVar(&opts.Queue)
		c.Flag("service-time", "mean time of a request").Default("20ms").DurationVar(&opts.ServiceTime)
		c.Flag("spread", "of the logarithm of service times").Default("0").Float64Var(&opts.Spread)
		c.Flag("cold-for", "how long it reports to be cold").DurationVar(&opts.ColdFor)
		c.Flag("limit", "requests a second that it names as what it takes from all balancers together; empty for none").StringVar(&opts.Limit)
		c.Flag("retry-after", "for how many seconds it wants no requests when it sheds one; empty for nothing said").StringVar(&opts.RetryAfter)
		c.Flag("probe-time", "time of a probe").Default("6ms").DurationVar(&opts.ProbeTime)
		return func() error { return serveUntilSignal(a.Env, *addr, standin.NewEndpoint(opts)) }
	})
}

func serveUntilSignal(e *command.Env, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	ctx, stop := untilSignal()
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the process
	_, _ = fmt.Fprintf(e.Out, "listening on %s\n", l.Addr())
	return serveUntil(ctx, l, h, inFlightWait)
}

// inFlightWait is how long requests in flight may take once a stand-in has been told to end.
const inFlightWait = 5 * time.Second

// serveUntil serves a listener until ctx ends, and then the requests in flight for at most wait.
func serveUntil(ctx context.Context, l net.Listener, h http.Handler, wait time.Duration) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	ended := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(ended)
		limited, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		if srv.Shutdown(limited) != nil {
			_ = srv.Close() // the rest is cut
		}
	})
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("standin: %w", err)
	}
	<-ended
	return nil
}
