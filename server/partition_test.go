package server_test

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/balancer"
	"github.com/lotuswing/lotuswing/internal/partition"
	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/tenant"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// newPartitionRig returns a rig with six endpoints whose requests have a target of 250 ms. Requests for
// /x/ are repeatable, those for /y/ are not.
func newPartitionRig(t *testing.T) *platformRig {
	t.Helper()
	r := newPlatformRig(t)
	for i := range 5 {
		id := fmt.Sprintf("i-%d", i+2)
		e := platformtest.NewEndpoint(id, platformtest.Behavior{ServiceTime: 20 * time.Millisecond})
		endpoint := httptest.NewServer(e)
		t.Cleanup(endpoint.Close)
		r.endpoints = append(r.endpoints, e)
		r.store.PutServer(id, platformtest.Server{Address: endpoint.Listener.Addr().String(), Service: "s", Zone: "medina", Slots: 3})
	}
	route := tenant.PrefixRoute{
		Name: "r", Host: "a.example", Prefix: "/x/", Repeatable: true, Timeout: 2 * time.Second, Target: 250 * time.Millisecond, MaxAttempts: 2,
		Split: []tenant.Share{{Service: "s", Weight: 1}},
	}
	once := route
	once.Name, once.Prefix, once.Repeatable = "once", "/y/", false
	r.store.Publish(2, []tenant.PrefixRoute{route, once}, map[string]tenant.Service{"s": {Connections: 100, ProbePath: "/health"}})
	return r
}

// startPartitionable starts a balancer whose paths to endpoints can be lost.
func (r *platformRig) startPartitionable(t *testing.T, name string, peers ...string) (platformBalancer, *partition.Network) {
	t.Helper()
	network := &partition.Network{}
	r.dial = network.Wrap((&net.Dialer{}).DialContext)
	b := r.start(t, name, peers...)
	r.dial = nil
	b.waitReady(t)
	return b, network
}

// TestCallersOfPartitionedBalancerAreServed: a balancer that has lost its paths to all endpoints serves
// its callers while other balancers have theirs.
func TestCallersOfPartitionedBalancerAreServed(t *testing.T) {
	for _, mode := range partition.Modes {
		t.Run(string(mode), func(t *testing.T) {
			r := newPartitionRig(t)
			first := r.start(t, "vm-1")
			first.waitReady(t)
			second := r.start(t, "vm-2", first.link)
			second.waitReady(t)
			partitioned, network := r.startPartitionable(t, "vm-3", first.link, second.link)
			assert.Equal(t, partitioned.call(t), http.StatusOK)
			network.Set(mode)
			// The first requests may be needed to find out.
			for range 5 {
				partitioned.call(t)
			}
			const calls = 30
			served := 0
			for range calls {
				if partitioned.call(t) == http.StatusOK {
					served++
				}
			}
			assert.Assert(t, served >= calls*2/3, "served %d of %d", served, calls)
		})
	}
}

// TestUnreachedServiceIsRefusedAtOnce: a balancer without paths and without others that have them is
// not ready, and refuses requests without a search, until paths work again.
func TestUnreachedServiceIsRefusedAtOnce(t *testing.T) {
	r := newPartitionRig(t)
	b, network := r.startPartitionable(t, "vm-1")
	assert.Equal(t, b.call(t), http.StatusOK)
	network.Set(partition.Silent)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.call(t) != http.StatusServiceUnavailable || b.isReady() {
			return poll.Continue("still ready")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	reasons := map[string]int{}
	for range 30 {
		reasons[b.reasonOf(t)]++
	}
	assert.Assert(t, reasons["LW2017"] > 0, "%v", reasons)
	network.Set(partition.Open)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.call(t) != http.StatusOK || !b.isReady() {
			return poll.Continue("not ready")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// reasonOf calls the balancer and returns the reason code of its response.
func (b platformBalancer) reasonOf(t *testing.T) string {
	t.Helper()
	resp := b.send(t, http.MethodGet, "/x/1", "")
	_ = resp.Body.Close() // only the header counts
	return resp.Header.Get("Lotuswing-Reason")
}

// send sends a request to the balancer and returns the response, or nil if there is none.
func (b platformBalancer) send(t *testing.T, method, path, id string) *http.Response {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	request, err := http.NewRequest(method, "http://"+b.front+path, nil)
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set("Request-Id", cmp.Or(id, fmt.Sprintf("r-%d", requests.Add(1))))
	resp, err := client.Do(request)
	assert.NilError(t, err)
	return resp
}

// TestLostPathIsNoCrash: an endpoint whose connections are reset and refused for one balancer, and which
// others reach, has not crashed.
func TestLostPathIsNoCrash(t *testing.T) {
	r := newPartitionRig(t)
	first := r.start(t, "vm-1")
	first.waitReady(t)
	b, network := r.startPartitionable(t, "vm-2", first.link)
	assert.Equal(t, b.call(t), http.StatusOK)
	for range 5 {
		var calls sync.WaitGroup
		for range 4 {
			calls.Go(func() { b.call(t) })
		}
		time.Sleep(10 * time.Millisecond) // so that some are at work
		network.Set(partition.Refused)
		calls.Wait()
		network.Set(partition.Open)
		b.call(t)
	}
	assert.Assert(t, strings.Contains(b.metrics(t), "lotuswing_quarantine_ends 0\n"), b.metrics(t))
}

// metrics returns the balancer's metrics.
func (b platformBalancer) metrics(t *testing.T) string {
	t.Helper()
	resp, err := http.Get("http://" + b.admin + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }() // read to its end
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(raw)
}

// TestCarriedRequestRunsOnce: a request that must run once does so, and is told truly, though the
// balancers end that carry it.
func TestCarriedRequestRunsOnce(t *testing.T) {
	r := newPartitionRig(t)
	var carriers []platformBalancer
	var links []string
	for i := range 4 {
		c := r.start(t, fmt.Sprintf("vm-%d", i+1), links...)
		c.waitReady(t)
		carriers, links = append(carriers, c), append(links, c.link)
	}
	b, network := r.startPartitionable(t, "vm-9", links...)
	network.Set(partition.Silent)
	for range 5 {
		b.call(t)
	}
	statuses := make([]int, 40)
	var calls sync.WaitGroup
	for i := range statuses {
		calls.Go(func() {
			resp := b.send(t, http.MethodPost, "/y/1", fmt.Sprintf("once-%d", i))
			_ = resp.Body.Close() // only the status counts
			statuses[i] = resp.StatusCode
		})
		if i%12 == 11 {
			carriers[i/12].kill()
		}
		time.Sleep(5 * time.Millisecond) // spreads the requests
	}
	calls.Wait()
	served := 0
	for i, status := range statuses {
		ran := 0
		for _, e := range r.endpoints {
			ran += e.RunCount(fmt.Sprintf("once-%d", i))
		}
		assert.Assert(t, ran <= 1, "request %d ran %d times", i, ran)
		assert.Assert(t, ran == 0 || status != http.StatusServiceUnavailable, "request %d ran and is told not to have", i)
		if status == http.StatusOK {
			served++
			assert.Equal(t, ran, 1)
		}
	}
	assert.Assert(t, served > 0)
}

// TestPartitionedBalancerWithHomesServes: with homes, too, a balancer reaches endpoints through others.
func TestPartitionedBalancerWithHomesServes(t *testing.T) {
	networks := []*partition.Network{{}, {}, {}}
	r := newRigWith(t, len(networks), 4, func(i int) balancer.Policy {
		return balancer.Policy{DialTimeout: 300 * time.Millisecond}.WithDial(networks[i].Wrap((&net.Dialer{}).DialContext))
	})
	for i, network := range networks {
		client := &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}
		_, err := call(client, r.servers[i].Addr())
		assert.NilError(t, err)
		network.Set(partition.Silent)
		served := 0
		for range 30 {
			if _, err := call(client, r.servers[i].Addr()); err == nil {
				served++
			}
		}
		network.Set(partition.Open)
		assert.Assert(t, served >= 20, "served %d of 30", served)
	}
}
