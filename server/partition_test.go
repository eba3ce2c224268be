package server_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/internal/partition"
	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/tenant"
	"gotest.tools/v3/assert"
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
