package detour_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/internal/partition"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// newDetouredRig returns a rig whose direct path is lost, with an endpoint that handles requests as given.
func newDetouredRig(t *testing.T, handler http.HandlerFunc, carriers ...string) *rig {
	t.Helper()
	r := newRig(t, carriers...)
	e := httptest.NewServer(handler)
	t.Cleanup(e.Close)
	r.addr = e.Listener.Addr().String()
	r.network.Set(partition.Refused)
	assert.NilError(t, r.probe(t))
	return r
}

// send sends one request that must not be repeated and reads its response.
func (r *rig) send(t *testing.T) upstream.Result {
	in, err := http.NewRequest(http.MethodPost, "http://caller/x", nil)
	assert.NilError(t, err)
	res := r.client.Send(t.Context(), upstream.Request{
		ID: "r1", Addr: r.addr, Incoming: in, Body: upstream.NewBody(strings.NewReader("x"), 1<<10),
		Deadline: time.Now().Add(20 * time.Second), BufferBytes: 1 << 20,
	})
	res.Close()
	return res
}

// stop stops a carrier as a planned stop does and returns how many connections it cut.
func (c *carrier) stop(t *testing.T) (cut int) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	c.server.Refuse()
	cut = c.server.Drain(ctx)
	_ = c.link.Close()
	return cut
}

// TestConnectionInUseIsNotCutByStopOfCarrier: connections that never become quiet are left by their
// user, while the carriers stop one after another, half a second apart.
func TestConnectionInUseIsNotCutByStopOfCarrier(t *testing.T) {
	slow := func(http.ResponseWriter, *http.Request) { time.Sleep(10 * time.Millisecond) }
	var carriers []*carrier
	var addrs []string
	for i := range 4 {
		carriers = append(carriers, startCarrier(t, 100))
		carriers[i].lost.Store(i > 0) // it takes connections once the one before it stops
		addrs = append(addrs, carriers[i].addr)
	}
	r := newDetouredRig(t, slow, addrs...)
	var stopped atomic.Bool
	var sent, lost atomic.Int64
	var users, stops sync.WaitGroup
	for range 4 {
		users.Go(func() {
			for !stopped.Load() {
				sent.Add(1)
				if res := r.send(t); res.Verdict != verdict.Ran {
					lost.Add(1)
					t.Logf("%v %v: %v", res.Verdict, res.Reason, res.Err)
				}
			}
		})
	}
	cut := make([]int, 3)
	for i := range cut {
		time.Sleep(500 * time.Millisecond)
		assert.Check(t, carriers[i].server.Carried() > 0)
		carriers[i+1].lost.Store(false)
		stops.Go(func() { cut[i] = carriers[i].stop(t) })
	}
	stops.Wait()
	stopped.Store(true)
	users.Wait()
	assert.Equal(t, lost.Load(), int64(0), "of %d", sent.Load())
	assert.DeepEqual(t, cut, []int{0, 0, 0})
}

// TestResponseThatPausesIsNotCutByStopOfCarrier: silence in the middle of a response is no end of it.
func TestResponseThatPausesIsNotCutByStopOfCarrier(t *testing.T) {
	begun := make(chan struct{}, 1)
	pausing := func(w http.ResponseWriter, in *http.Request) {
		if in.Method != http.MethodPost {
			return
		}
		_, _ = io.WriteString(w, "half ")
		_ = http.NewResponseController(w).Flush()
		begun <- struct{}{}
		time.Sleep(600 * time.Millisecond) // longer than a silence that counts as an end
		_, _ = io.WriteString(w, "whole")
	}
	c := startCarrier(t, 10)
	r := newDetouredRig(t, pausing, c.addr)
	var res upstream.Result
	var users sync.WaitGroup
	users.Go(func() { res = r.send(t) })
	<-begun
	assert.Equal(t, c.stop(t), 0)
	users.Wait()
	assert.Equal(t, res.Verdict, verdict.Ran)
	body, err := io.ReadAll(res.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "half whole")
}

// TestIdleConnectionIsLeftAtOnce: its user closes it, and another carrier is asked from then on. Once all
// are in a stop, requests are not sent at all.
func TestIdleConnectionIsLeftAtOnce(t *testing.T) {
	c, other := startCarrier(t, 10), startCarrier(t, 10)
	other.lost.Store(true)
	r := newDetouredRig(t, func(http.ResponseWriter, *http.Request) {}, c.addr, other.addr)
	assert.Equal(t, c.server.Carried(), 1)
	other.lost.Store(false)
	c.server.Refuse()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := c.server.Carried(); n > 0 {
			return poll.Continue("%d carried", n)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
	assert.Equal(t, r.send(t).Verdict, verdict.Ran)
	assert.Equal(t, other.server.Carried(), 1)
	assert.Equal(t, other.stop(t), 0)
	res := r.send(t)
	assert.Equal(t, res.Verdict, verdict.NotRun)
	assert.Equal(t, res.Reason, reason.DialFailed)
}

// TestMarkIsSentOnlyToThoseThatUnderstand: a balancer of an earlier version gets the bytes alone, and its
// connection is closed once it is quiet. One that understands is told at once and closes it itself.
func TestMarkIsSentOnlyToThoseThatUnderstand(t *testing.T) {
	for field, mark := range map[string]string{"": "", `,"draining":true`: "\xff\xff"} {
		c := startCarrier(t, 10)
		addr, conns := accept(t)
		conn, err := net.Dial("tcp", c.addr)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "\x00{\"endpoint\":\""+addr+"\",\"from\":\"vm\",\"tunnel\":\"vm-1\""+field+"}\n")
		assert.NilError(t, err)
		r := bufio.NewReader(conn)
		_, err = r.ReadString('\n')
		assert.NilError(t, err)
		c.server.Refuse()
		c.server.Refuse()
		got := make([]byte, len(mark))
		_, err = io.ReadFull(r, got)
		assert.NilError(t, err)
		assert.Equal(t, string(got), mark)
		_, err = io.WriteString(<-conns, "response")
		assert.NilError(t, err)
		if mark != "" {
			got = make([]byte, 10)
			_, err = io.ReadFull(r, got)
			assert.NilError(t, err)
			assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
			assert.NilError(t, conn.Close())
			assert.Equal(t, c.stop(t), 0)
		} else {
			assert.Equal(t, c.stop(t), 0)
			got, err = io.ReadAll(r)
			assert.Assert(t, err != nil) // reset
		}
		assert.Equal(t, string(got), "\x00\x08response")
	}
}

// TestCutIsCounted: what has not ended at the end of the stop is cut.
func TestCutIsCounted(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	c := startCarrier(t, 10)
	r := newDetouredRig(t, func(_ http.ResponseWriter, in *http.Request) {
		if in.Method == http.MethodPost {
			close(arrived)
			<-release
		}
	}, c.addr)
	var users sync.WaitGroup
	users.Go(func() { assert.Check(t, r.send(t).Verdict == verdict.MayHaveRun) })
	<-arrived
	assert.Equal(t, c.stop(t), 1)
	users.Wait()
	close(release)
	assert.Equal(t, metrics.GetOrRegisterCounter("carried_cut", c.metrics).Count(), int64(1))
}
