package systemtest

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/standin"
	"github.com/lotuswing/lotuswing/vm"
	"gotest.tools/v3/assert"
)

// bennaniFleet is three balancers in three zones with petitions and archives.
func bennaniFleet(t *testing.T) *fleet {
	f := newFleet(t)
	for i := range 4 {
		opts := standin.EndpointOptions{ServiceTime: 10 * time.Millisecond, Spread: 0.5}
		f.addEndpoint("bennani", "petitions", fmt.Sprintf("petition-%d", i), "medina", opts)
		f.addEndpoint("bennani", "archives", fmt.Sprintf("archive-%d", i), "tribunal", opts)
	}
	f.apply(bennani)
	f.addBalancer("vm-a", "medina", "bennani")
	f.addBalancer("vm-b", "tribunal", "bennani")
	f.addBalancer("vm-c", "ville-nouvelle", "bennani")
	f.list()
	f.ready()
	return f
}

// homeOf returns the home of a service and the other balancers.
func (f *fleet) homeOf(service string) (home *balancerProcess, others []*balancerProcess) {
	f.t.Helper()
	id := f.balancers[0].status().Homes[service]
	for _, b := range f.balancers {
		if b.id == id {
			home = b
		} else {
			others = append(others, b)
		}
	}
	assert.Assert(f.t, home != nil, "no home of %s", service)
	return home, others
}

// TestHomeIsKilled kills the home of the petitions under load.
func TestHomeIsKilled(t *testing.T) {
	f := bennaniFleet(t)
	home, others := f.homeOf("bennani/petitions")
	c := f.startCallers(60, others...)
	c.more(100)
	home.signal(syscall.SIGKILL)
	c.more(300)
	eventually(t, "another home", func() bool {
		return others[0].status().Homes["bennani/petitions"] != home.id
	})
	c.more(100)
	c.check()
}

// TestHomeIsPaused stops the home's process and lets it go on later, when
// others have taken its place and its contracts have lapsed.
func TestHomeIsPaused(t *testing.T) {
	f := bennaniFleet(t)
	home, others := f.homeOf("bennani/petitions")
	c := f.startCallers(60, others...)
	c.more(100)
	home.signal(syscall.SIGSTOP)
	eventually(t, "the paused home is replaced", func() bool { return len(others[0].status().Members) == 2 })
	c.more(200)
	home.signal(syscall.SIGCONT)
	eventually(t, "the paused home is back", func() bool { return len(others[0].status().Members) == 3 })
	c.more(100)
	c.check()
	assert.Assert(t, strings.Contains(home.output(), "process was paused"))
}

// TestStoreIsDown: the configuration stays in force, a new balancer learns it
// from its peers, and nobody measures.
func TestStoreIsDown(t *testing.T) {
	f := bennaniFleet(t)
	eventually(t, "somebody measures", func() bool { return f.measuring() == 1 })
	f.put("/v1/faults", standin.Faults{Down: true})
	c := f.startCallers(40, f.balancers...)
	late := f.addBalancer("vm-late", "back-room", "bennani")
	f.list()
	f.ready()
	assert.Equal(t, late.status().Versions["config/bennani"], uint64(1))
	got := do(http.MethodPost, late.url()+"/petitions", "medina.bennani", "late", "stamped")
	assert.Equal(t, got.status, http.StatusOK, got.body)
	eventually(t, "nobody measures", func() bool { return f.measuring() == 0 })
	c.more(100)
	f.put("/v1/faults", standin.Faults{})
	eventually(t, "somebody measures again", func() bool { return f.measuring() == 1 })
	c.check()
}

func (f *fleet) measuring() int {
	holders := 0
	for _, b := range f.balancers {
		for _, m := range b.status().Measuring {
			if m.Holds {
				holders++
			}
		}
	}
	return holders
}

// TestLeavingByItsOwnWord: an endpoint drains, says so on its answers, and the
// list of VMs still has it as live. Once all balancers know, it gets nothing.
func TestLeavingByItsOwnWord(t *testing.T) {
	f := bennaniFleet(t)
	c := f.startCallers(60, f.balancers...)
	c.more(50)
	leaver := f.endpoints["petition-1"]
	leaver.Set(standin.Behavior{Draining: true})
	f.gone(c, "petition-1")
}

// TestLeavingByTheList: only the list of VMs says that the endpoint leaves.
func TestLeavingByTheList(t *testing.T) {
	f := bennaniFleet(t)
	c := f.startCallers(60, f.balancers...)
	c.more(50)
	for i := range f.vms {
		if f.vms[i].ID == "archive-2" {
			f.vms[i].State = vm.Leaving
		}
	}
	f.list()
	f.gone(c, "archive-2")
}

// gone waits until every balancer has the mark and the requests sent before
// have run, and then expects no further request at the endpoint.
func (f *fleet) gone(c *callers, id string) {
	f.t.Helper()
	for _, b := range f.balancers {
		eventually(f.t, b.id+" knows", func() bool {
			for _, m := range b.status().Leaving {
				if m.VM == id {
					return true
				}
			}
			return false
		})
	}
	c.more(60) // what was granted before the mark has been sent by now
	before := len(f.endpoints[id].Runs())
	c.more(300)
	assert.Equal(f.t, len(f.endpoints[id].Runs()), before)
	c.check()
}

// TestChangeIsInForceEverywhere with a store that is slow and loses the answer
// of the write.
func TestChangeIsInForceEverywhere(t *testing.T) {
	f := bennaniFleet(t)
	f.put("/v1/faults", standin.Faults{Slow: 300 * time.Millisecond, LoseAnswers: 1})
	f.apply(bennani)
	eventually(t, "version 2 everywhere", func() bool { return f.lowestVersion() == 2 })
	f.put("/v1/faults", standin.Faults{StuckWatch: true})
	f.apply(bennani)
	eventually(t, "version 3 everywhere though watches are stuck", func() bool { return f.lowestVersion() == 3 })
}

func (f *fleet) lowestVersion() uint64 {
	lowest := ^uint64(0)
	for _, b := range f.balancers {
		lowest = min(lowest, b.status().Versions["config/bennani"])
	}
	return lowest
}

// TestRestartedBalancerNeverGoesBack: with the store down, a balancer that was
// killed comes back with the version of its peers, and is not ready before.
func TestRestartedBalancerNeverGoesBack(t *testing.T) {
	f := bennaniFleet(t)
	f.apply(bennani)
	eventually(t, "version 2 everywhere", func() bool { return f.lowestVersion() == 2 })
	f.put("/v1/faults", standin.Faults{Down: true})
	f.balancers[0].signal(syscall.SIGKILL)
	f.balancers = f.balancers[1:]
	f.addBalancer("vm-a2", "medina", "bennani")
	f.list()
	f.ready()
	assert.Equal(t, f.lowestVersion(), uint64(2))
}

// TestStaleStoreBringsNothingBack: the store answers reads with the version
// before the last. A balancer that starts takes the last one from its peers and
// serves nothing before.
func TestStaleStoreBringsNothingBack(t *testing.T) {
	f := bennaniFleet(t)
	f.apply(bennani)
	eventually(t, "version 2 everywhere", func() bool { return f.lowestVersion() == 2 })
	f.put("/v1/faults", standin.Faults{StaleReads: true})
	late := f.addBalancer("vm-late", "medina", "bennani")
	f.list()
	eventually(t, "it is ready", func() bool {
		ready := get("http://"+late.admin+"/readyz").status == http.StatusOK
		if !ready {
			got := do(http.MethodGet, late.url()+"/petitions/1", "medina.bennani", "early", "")
			// The balancer may have become ready since the check above.
			ready = get("http://"+late.admin+"/readyz").status == http.StatusOK
			assert.Assert(t, got.err != nil || got.status == http.StatusServiceUnavailable || got.status == http.StatusOK && ready, got.status)
			assert.Assert(t, got.status != http.StatusOK || late.status().Versions["config/bennani"] == 2, "served with an older version")
		}
		return ready
	})
	assert.Equal(t, late.status().Versions["config/bennani"], uint64(2))
	assert.Equal(t, f.lowestVersion(), uint64(2))
}

// TestTwoOperators edit the same version at the same moment: one wins, the
// other is told whose edit is in force.
func TestTwoOperators(t *testing.T) {
	f := newFleet(t)
	f.apply(bennani)
	raw, err := os.ReadFile(bennani)
	assert.NilError(t, err)
	changed := filepath.Join(t.TempDir(), "changed.jsonc")
	assert.NilError(t, os.WriteFile(changed, []byte(strings.ReplaceAll(string(raw), `"counter-patience": "1s"`, `"counter-patience": "3s"`)), 0o600))
	codes := map[int]string{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, editor := range []string{"first", "second"} {
		wg.Go(func() {
			out, code := ctl(t, "apply", "--store", f.storeURL(), "--editor", editor, "--base", "1", changed)
			mu.Lock()
			defer mu.Unlock()
			codes[code] = out
		})
	}
	wg.Wait()
	assert.Assert(t, strings.Contains(codes[0], "version 2 is yours"), "%v", codes)
	assert.Assert(t, strings.Contains(codes[3], "lost the race: version 2 is the edit of"), "%v", codes)
	f.put("/v1/faults", standin.Faults{Down: true})
	out, code := ctl(t, "apply", "--store", f.storeURL(), "--base", "2", changed)
	assert.Equal(t, code, 4, out)
}

// TestEverythingAtOnce: the store is down, an endpoint drains, another fails
// fast, and the home is killed, all within the same moment.
func TestEverythingAtOnce(t *testing.T) {
	f := bennaniFleet(t)
	home, others := f.homeOf("bennani/petitions")
	c := f.startCallers(60, others...)
	c.more(100)
	f.put("/v1/faults", standin.Faults{Down: true})
	f.endpoints["petition-0"].Set(standin.Behavior{Draining: true})
	f.endpoints["archive-0"].Set(standin.Behavior{FailFast: true})
	f.endpoints["archive-1"].Set(standin.Behavior{Slowness: 10})
	home.signal(syscall.SIGKILL)
	c.more(600)
	c.check()
}
