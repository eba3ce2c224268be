package detour_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/reach"
	"github.com/lotuswing/lotuswing/detour"
	"github.com/lotuswing/lotuswing/internal/partition"
	"github.com/lotuswing/lotuswing/link"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"gotest.tools/v3/poll"
)

// carrier is a balancer that carries connections.
type carrier struct {
	server  *detour.Server
	network partition.Network // its own paths to endpoints
	lost    atomic.Bool       // it has found out that its paths are lost
	addr    string
	link    *link.Server
	metrics metrics.Registry
}

// noCalls is an rpc receiver without use.
type noCalls struct{}

// Nothing makes noCalls a receiver.
func (noCalls) Nothing(int, *int) error { return nil }

// find takes every address but one for that of an endpoint.
func find(addr string, _ time.Time) (service string, ok bool) { return "s", addr != "127.0.0.1:1" }

func startCarrier(t *testing.T, maxCarried int) *carrier {
	t.Helper()
	c := &carrier{metrics: metrics.NewRegistry()}
	c.server = detour.NewServer(detour.ServerConfig{
		Find: find, PathLost: func(string) bool { return c.lost.Load() }, Dial: c.network.Wrap((&net.Dialer{}).DialContext),
		MaxCarried: maxCarried, Log: hclog.NewNullLogger(), Metrics: c.metrics,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c.addr = l.Addr().String()
	c.link, err = link.ServeStreams(l, nil, noCalls{}, c.server.Serve)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.link.Close() })
	return c
}

// finder names carriers.
type finder struct {
	addrs atomic.Pointer[[]string]
}

func (f *finder) name(addrs ...string) { f.addrs.Store(&addrs) }

func (f *finder) Carriers(context.Context) []reach.Carrier {
	var list []reach.Carrier
	for _, addr := range *f.addrs.Load() {
		list = append(list, reach.Carrier{Addr: addr})
	}
	return list
}

// rig is a balancer with its own network, and an endpoint.
type rig struct {
	network  partition.Network
	finder   finder
	table    *detour.Table
	client   *upstream.Client
	endpoint *httptest.Server
	addr     string
	probes   atomic.Int64 // that reached the endpoint
	others   int          // usable endpoints beside it
}

// count returns the number of usable endpoints of the only service.
func (r *rig) count(string, time.Time) int { return 1 + r.others }

func newRig(t *testing.T, carriers ...string) *rig {
	t.Helper()
	r := &rig{}
	r.finder.name(carriers...)
	r.endpoint = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) { r.probes.Add(1) }))
	t.Cleanup(r.endpoint.Close)
	r.addr = r.endpoint.Listener.Addr().String()
	links := link.NewClient(nil)
	t.Cleanup(links.Close)
	dial := r.network.Wrap((&net.Dialer{}).DialContext)
	r.table = detour.NewTable(detour.Config{
		ID: "vm-1", Finder: &r.finder, Find: find, Count: r.count, Open: links.OpenStream, Dial: dial, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
	})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go r.table.Run(ctx)
	r.client = upstream.NewClient(upstream.Options{DialTimeout: 300 * time.Millisecond}).WithDial(dial).WithPaths(r.table)
	t.Cleanup(r.client.CloseIdle)
	return r
}

// probe probes the endpoint.
func (r *rig) probe(t *testing.T) error {
	t.Helper()
	_, err := r.client.Probe(t.Context(), r.addr, "/health", 250*time.Millisecond)
	return err
}

// waitDirect waits until the endpoint is reached directly.
func (r *rig) waitDirect(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.table.Detoured(r.addr) {
			return poll.Continue("detoured")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

// TestProbesTakeDetourWhilePathIsLost, and the direct path after it returns.
func TestProbesTakeDetourWhilePathIsLost(t *testing.T) {
	for _, mode := range []partition.Mode{partition.Silent, partition.Reset, partition.Refused} {
		t.Run(string(mode), func(t *testing.T) {
			c := startCarrier(t, 10)
			r := newRig(t, c.addr)
			assert.NilError(t, r.probe(t))
			assert.Equal(t, c.server.Carried(), 0)
			r.network.Set(mode)
			assert.NilError(t, r.probe(t))
			assert.Assert(t, r.table.Detoured(r.addr))
			assert.Equal(t, c.server.Carried(), 1)
			assert.NilError(t, r.probe(t))
			assert.Equal(t, c.server.Carried(), 1)
			r.network.Set(partition.Open)
			r.waitDirect(t)
			assert.NilError(t, r.probe(t))
		})
	}
}

// silentCarrier returns the address of a balancer that accepts connections and answers nothing.
func silentCarrier(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// TestCarriersThatFailAreReplaced: carriers that are silent, full, stopping or without a path
// themselves do not keep a connection from opening.
func TestCarriersThatFailAreReplaced(t *testing.T) {
	silent := silentCarrier(t)
	full, stopping, lost := startCarrier(t, 0), startCarrier(t, 10), startCarrier(t, 10)
	stopping.server.Refuse()
	lost.lost.Store(true)
	for _, failing := range []string{silent, full.addr, stopping.addr, lost.addr, "127.0.0.1:1"} {
		well := startCarrier(t, 10)
		r := newRig(t, failing, well.addr)
		r.network.Set(partition.Silent)
		for range 3 {
			conn, err := r.table.DialDetour(t.Context(), "tcp", r.addr)
			assert.NilError(t, err)
			carrierAddr, tunnel := conn.(*detour.Conn).Via()
			assert.Equal(t, carrierAddr, well.addr)
			assert.Assert(t, strings.HasPrefix(tunnel, "vm-1-"))
			assert.NilError(t, conn.Close())
		}
	}
}

// TestKnownCarriersAreUsedWhileNoneAreNamed: relays that do not answer name no carriers.
func TestKnownCarriersAreUsedWhileNoneAreNamed(t *testing.T) {
	c := startCarrier(t, 10)
	r := newRig(t, c.addr)
	c.lost.Store(true)
	_, err := r.table.DialDetour(t.Context(), "tcp", r.addr)
	assert.ErrorIs(t, err, detour.ErrNoCarrier)
	r.finder.name()
	time.Sleep(400 * time.Millisecond) // until the carriers are looked up again
	_, err = r.table.DialDetour(t.Context(), "tcp", r.addr)
	assert.ErrorIs(t, err, detour.ErrNoCarrier)
	time.Sleep(100 * time.Millisecond) // until the search has ended
	c.lost.Store(false)
	conn, err := r.table.DialDetour(t.Context(), "tcp", r.addr)
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
}

// TestUncarriedCheckShowsNothingOfEndpoint: an endpoint is checked again soon after a check for which
// no carrier opened a connection.
func TestUncarriedCheckShowsNothingOfEndpoint(t *testing.T) {
	well, full, lost, cut := startCarrier(t, 10), startCarrier(t, 0), startCarrier(t, 10), startCarrier(t, 10)
	lost.lost.Store(true)
	cut.network.Set(partition.Refused)
	for name, carriers := range map[string][]string{
		"none known": nil, "silent": {silentCarrier(t)}, "full": {full.addr}, "path lost": {lost.addr},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, carriers...)
			r.network.Set(partition.Refused)
			assert.Assert(t, r.probe(t) != nil)
			time.Sleep(reach.Options{}.WithDefaults().UncarriedPause)
			assert.Equal(t, r.table.BeginCheck(r.addr, reach.Failure), upstream.CheckNow)
			r.finder.name(well.addr)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if err := r.probe(t); err != nil {
					return poll.Continue("%v", err)
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second))
		})
	}
	r := newRig(t, lost.addr, cut.addr)
	for range 2 { // the second time the one that is cut off answers first
		_, err := r.table.DialDetour(t.Context(), "tcp", well.addr)
		assert.ErrorIs(t, err, upstream.ErrUnreachable)
	}
	_, err := newRig(t, full.addr, lost.addr).table.DialDetour(t.Context(), "tcp", well.addr)
	assert.Assert(t, !errors.Is(err, upstream.ErrUnreachable), "%v", err)
}

// TestEndpointThatIsDownIsCheckedSeldom: checks of endpoints that no balancer reaches keep to their
// budget, and make no path count as lost.
func TestEndpointThatIsDownIsCheckedSeldom(t *testing.T) {
	c := startCarrier(t, 10)
	r := newRig(t, c.addr)
	r.endpoint.Close()
	began := time.Now()
	for range 50 {
		assert.Assert(t, r.probe(t) != nil)
	}
	assert.Assert(t, !r.table.Detoured(r.addr))
	begun := 0
	for i := range 200 {
		addr := fmt.Sprintf("127.0.0.1:%d", 2+i)
		if r.table.BeginCheck(addr, reach.Silence) == upstream.CheckNow {
			r.table.EndCheck(addr, reach.Silence, reach.Unreached)
			begun++
		}
	}
	opts := reach.Options{}.WithDefaults()
	assert.Assert(t, float64(begun) <= opts.CheckBurst+opts.CheckRate*time.Since(began).Seconds(), "%d checks", begun)
	_, refuses := r.table.Refuses("s", time.Now().Add(time.Hour))
	assert.Assert(t, !refuses) // one is let through
	retryAfter, refuses := r.table.Refuses("s", time.Now().Add(time.Hour))
	assert.Assert(t, refuses && retryAfter > 0)
	assert.DeepEqual(t, r.table.NoneReached(time.Now().Add(time.Hour)), []string{"s"})
	r.table.Responded(r.addr, false)
	assert.Equal(t, len(r.table.NoneReached(time.Now().Add(time.Hour))), 0)
}

// TestOneEndpointThatIsDownIsNotItsService: requests for a service are not refused because one of its
// endpoints is missed again and again.
func TestOneEndpointThatIsDownIsNotItsService(t *testing.T) {
	r := newRig(t, startCarrier(t, 10).addr)
	r.others = 1
	for range 10 {
		r.table.EndCheck(r.addr, reach.Failure, reach.Unreached)
	}
	later := time.Now().Add(time.Hour)
	assert.Equal(t, len(r.table.NoneReached(later)), 0)
	r.table.EndCheck("127.0.0.1:2", reach.Failure, reach.Unreached)
	assert.DeepEqual(t, r.table.NoneReached(later), []string{"s"})
}

// TestForgedRequestsAreRefused: nothing is opened for a request that is malformed, too long or names
// no endpoint.
func TestForgedRequestsAreRefused(t *testing.T) {
	c := startCarrier(t, 10)
	for line, want := range map[string]string{
		"{\"endpoint\":\"127.0.0.1:1\"}\n":                         `{"answer":"unlisted"}`,
		"GET / HTTP/1.1\n":                                         `{"answer":"malformed"}`,
		"{\"endpoint\":\"" + strings.Repeat("x", 8<<10) + "\"}\n":  `{"answer":"malformed"}`,
		"{\"endpoint\":[1]}\n":                                     `{"answer":"malformed"}`,
		"{\"endpoint\":\"127.0.0.1:2\",\"from\":\"vm\",\"x\":1}\n": `{"answer":"unreachable"}`,
	} {
		conn, err := net.Dial("tcp", c.addr)
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "\x00"+line)
		assert.NilError(t, err)
		reply, err := bufio.NewReader(conn).ReadString('\n')
		assert.NilError(t, err, line[:min(30, len(line))])
		assert.Equal(t, strings.TrimSpace(reply), want)
		assert.NilError(t, conn.Close())
	}
	assert.Equal(t, c.server.Carried(), 0)
}

// TestMessages: names and forms that balancers send one another.
func TestMessages(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	r := newRig(t, l.Addr().String())
	var lines []string
	for _, ctx := range []context.Context{t.Context(), upstream.WithDraining(t.Context())} {
		go func() { _, _ = r.table.DialDetour(ctx, "tcp", "10.0.0.1:80") }()
		conn, err := l.Accept()
		assert.NilError(t, err)
		line, err := bufio.NewReader(conn).ReadString('\n')
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
		lines = append(lines, fmt.Sprintf("%q", line))
	}
	var answers []string
	for _, a := range []reach.Answer{reach.Accepted, reach.Unreachable, reach.PathLost, reach.Busy, reach.Stopping, reach.Unlisted, reach.Malformed} {
		answers = append(answers, string(a))
	}
	slices.Sort(answers)
	golden.Assert(t, strings.Join(append(lines, answers...), "\n")+"\n", "messages.golden")
}

// open opens a connection through the rig's carrier.
func (r *rig) open(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := r.table.DialDetour(t.Context(), "tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// accept returns a listener and the connections that it accepts.
func accept(t *testing.T) (addr string, conns <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 10)
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			accepted <- conn
		}
	}()
	return l.Addr().String(), accepted
}

// TestBytesPassWhole: both directions, a closed sending direction, and a reset by either end.
func TestBytesPassWhole(t *testing.T) {
	c := startCarrier(t, 10)
	r := newRig(t, c.addr)
	addr, conns := accept(t)
	conn := r.open(t, addr)
	endpoint := <-conns
	sent := strings.Repeat("0123456789", 100_000)
	go func() {
		_, _ = io.WriteString(conn, sent)
		_ = conn.(*detour.Conn).CloseWrite()
	}()
	got, err := io.ReadAll(endpoint)
	assert.NilError(t, err)
	assert.Assert(t, string(got) == sent)
	go func(endpoint net.Conn) {
		_, _ = io.WriteString(endpoint, sent)
		_ = endpoint.Close()
	}(endpoint)
	got, err = io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, string(got) == sent)

	conn = r.open(t, addr)
	endpoint = <-conns
	assert.NilError(t, conn.Close())
	_, err = endpoint.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	conn = r.open(t, addr)
	endpoint = <-conns
	assert.NilError(t, endpoint.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, endpoint.Close())
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, io.EOF))
}

// TestEndOfCarrierIsNoEndOfResponse: a response without a length is not taken for whole if its carrier
// ends.
func TestEndOfCarrierIsNoEndOfResponse(t *testing.T) {
	c := startCarrier(t, 10)
	r := newRig(t, c.addr)
	addr, conns := accept(t)
	conn := r.open(t, addr)
	endpoint := <-conns
	_, err := io.WriteString(endpoint, "half of a response")
	assert.NilError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 4))
	assert.NilError(t, err)
	assert.NilError(t, c.link.Close())
	_, err = io.ReadAll(conn)
	assert.Assert(t, err != nil)
}

// TestPlannedStopOfCarrierCutsNothing: a connection with an outstanding response stays open until the
// response has passed; one without is closed.
func TestPlannedStopOfCarrierCutsNothing(t *testing.T) {
	c := startCarrier(t, 10)
	r := newRig(t, c.addr)
	addr, conns := accept(t)
	conn := r.open(t, addr)
	endpoint := <-conns
	_, err := io.WriteString(conn, "request")
	assert.NilError(t, err)
	_, err = io.ReadFull(endpoint, make([]byte, 7))
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	cut := make(chan int)
	go func() { cut <- c.server.Drain(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := r.table.DialDetour(t.Context(), "tcp", addr); !errors.Is(err, detour.ErrNoCarrier) {
			return poll.Continue("still carries")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	time.Sleep(500 * time.Millisecond) // longer than a connection without an outstanding response stays open
	_, err = io.WriteString(endpoint, "response")
	assert.NilError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 8))
	assert.NilError(t, err)
	assert.Equal(t, <-cut, 0)
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

// TestPathsToAllEndpointsLost: once several paths are lost and no endpoint responds directly, others
// are not tried directly.
func TestPathsToAllEndpointsLost(t *testing.T) {
	r := newRig(t)
	r.network.Set(partition.Silent)
	for i := range 3 {
		assert.Assert(t, !r.table.Lost())
		addr := fmt.Sprintf("127.0.0.1:%d", 2+i)
		assert.Equal(t, r.table.BeginCheck(addr, reach.Failure), upstream.CheckNow)
		r.table.EndCheck(addr, reach.Failure, reach.Reached)
	}
	assert.Assert(t, r.table.Lost())
	assert.Assert(t, r.table.Detoured(r.addr))
	r.network.Set(partition.Open)
	r.waitDirect(t)
	assert.Assert(t, !r.table.Lost())
}
