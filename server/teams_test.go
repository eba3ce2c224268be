package server_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/server"
	"github.com/lotuswing/lotuswing/tenant"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// threeBalancers starts three of them, one of which follows the store for the others.
func threeBalancers(t *testing.T, r *platformRig) []platformBalancer {
	t.Helper()
	first := r.start(t, "vm-1")
	first.waitReady(t)
	all := []platformBalancer{first, r.start(t, "vm-2", first.link), r.start(t, "vm-3", first.link)}
	for _, b := range all {
		b.waitReady(t)
	}
	waitOneRelay(t, all)
	return all
}

// callWith calls a balancer with a key and returns the status.
func (b platformBalancer) callWith(t *testing.T, path, key string) int {
	t.Helper()
	header := http.Header{"Tenant": {"what-a-caller-says"}}
	if key != "" {
		header.Set("Authorization", "Bearer "+key)
	}
	return b.callAs(t, path, header)
}

// untilAll waits until all balancers answer a key with a status. Until then they may answer
// with what held before, or that they cannot tell yet.
func untilAll(t *testing.T, all []platformBalancer, key string, want int, before ...int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, b := range all {
			got := b.callWith(t, "/x/1", key)
			if got == want {
				continue
			}
			for _, allowed := range append(before, http.StatusServiceUnavailable) {
				if got == allowed {
					return poll.Continue("%d", got)
				}
			}
			return poll.Error(fmt.Errorf("key %s: %d", key, got))
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// TestTeamsAtAllBalancers: keys that are added and taken away, a quota that all share, and a
// route for which nobody needs a key.
func TestTeamsAtAllBalancers(t *testing.T) {
	r := newPlatformRig(t)
	endpoint := platformtest.NewEndpoint("i-2", platformtest.Behavior{ServiceTime: time.Millisecond, Slots: 100})
	front := httptest.NewServer(endpoint)
	t.Cleanup(front.Close)
	r.store.RemoveServer("i-1")
	r.store.PutServer("i-2", platformtest.Server{Address: front.Listener.Addr().String(), Service: "s", Zone: "medina", Slots: 100})
	publish := func(version uint64, teams ...platformtest.Team) {
		route := func(name, prefix string, public bool) tenant.PrefixRoute {
			return tenant.PrefixRoute{
				Name: name, Host: "a.example", Prefix: prefix, Repeatable: true, Timeout: 10 * time.Second, Target: 10 * time.Second, MaxAttempts: 2,
				Split: []tenant.Share{{Service: "s", Weight: 1}}, Public: public,
			}
		}
		r.store.PublishTeams(version, []tenant.PrefixRoute{route("r", "/x/", false), route("open", "/open/", true)},
			map[string]tenant.Service{"s": {Connections: 100, ProbePath: "/health"}}, teams)
	}
	bounded := platformtest.Team{Name: "medina", Keys: []string{"one"}, Rate: 20, Burst: 40}
	publish(2, bounded, platformtest.Team{Name: "tribunal", Keys: []string{"two"}})
	all := threeBalancers(t, r)
	untilAll(t, all, "two", http.StatusOK)
	for _, run := range endpoint.Runs() {
		assert.Assert(t, run.Team == "tribunal" && !run.Keyed, "%+v", run)
	}
	assert.Equal(t, all[0].callWith(t, "/open/1", ""), http.StatusOK)
	assert.Equal(t, all[0].callWith(t, "/x/1", ""), http.StatusUnauthorized)

	begin := time.Now()
	ran := 0
	for i := range 400 {
		switch got := all[i%len(all)].callWith(t, "/x/1", "one"); got {
		case http.StatusOK:
			ran++
		case http.StatusTooManyRequests:
		default:
			t.Fatal(got)
		}
	}
	allowed := (bounded.Rate*max(5, time.Since(begin).Seconds())+bounded.Burst)*1.1 + 20
	assert.Assert(t, float64(ran) <= allowed, "%d of %v", ran, allowed)
	assert.Assert(t, ran >= 20, "%d", ran)

	publish(3, platformtest.Team{Name: "medina", Keys: []string{"three"}}, platformtest.Team{Name: "tribunal", Keys: []string{"two"}})
	untilAll(t, all, "three", http.StatusOK)
	untilAll(t, all, "one", http.StatusUnauthorized, http.StatusOK, http.StatusTooManyRequests)
	untilAll(t, all, "two", http.StatusOK)
	untilAll(t, all, "never", http.StatusUnauthorized)

	var teams []server.TeamStatus
	resp, err := http.Get("http://" + all[0].admin + "/teams")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }() // read to its end
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&teams))
	assert.Assert(t, len(teams) == 2 && teams[0].Team == "medina" && teams[0].Keys == 1, "%+v", teams)
}

// TestVersionComesIn, or is taken out, while callers come to three balancers.
func TestVersionComesIn(t *testing.T) {
	for name, c := range map[string]struct {
		behavior platformtest.Behavior
		want     string
	}{
		"good": {platformtest.Behavior{ServiceTime: time.Millisecond, Slots: 100}, "completed"},
		"bad":  {platformtest.Behavior{ServiceTime: time.Millisecond, Slots: 100, ResetConnection: true}, "rolled_back"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newPlatformRig(t)
			r.store.RemoveServer("i-1")
			versions := map[string][]*platformtest.Endpoint{}
			put := func(version string, b platformtest.Behavior) {
				for i := range 4 {
					id := fmt.Sprintf("%s-%d", version, i)
					e := platformtest.NewEndpoint(id, b)
					front := httptest.NewServer(e)
					t.Cleanup(front.Close)
					versions[version] = append(versions[version], e)
					r.store.PutServer(id, platformtest.Server{Address: front.Listener.Addr().String(), Service: "s", Zone: "medina", Slots: 100, Version: version})
				}
			}
			put("v1", platformtest.Behavior{ServiceTime: time.Millisecond, Slots: 100})
			all := threeBalancers(t, r)
			r.store.OrderRollout("s", "v2", 6*time.Second)
			put("v2", c.behavior)
			var ended atomic.Bool
			for i := 0; !ended.Load(); i++ {
				all[i%len(all)].callFor(t, "/x/1")
				state := string(r.store.Value("status/rollout/s"))
				ended.Store(strings.Contains(state, "completed") || strings.Contains(state, "rolled_back"))
			}
			assert.Assert(t, strings.Contains(string(r.store.Value("status/rollout/s")), c.want), "%s", r.store.Value("status/rollout/s"))
			newer := 0
			for _, e := range versions["v2"] {
				newer += len(e.Runs())
			}
			older := 0
			for _, e := range versions["v1"] {
				older += len(e.Runs())
			}
			assert.Assert(t, newer > 0 && older > 0)
			if c.want == "rolled_back" {
				assert.Assert(t, newer <= (newer+older)/10+50, "%d of %d", newer, newer+older)
			}
		})
	}
}
