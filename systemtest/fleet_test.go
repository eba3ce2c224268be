package systemtest

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/standin"
	"gotest.tools/v3/assert"
)

// TestSixteenBalancers runs today's fleet as separate processes: some are
// killed, one is paused, one is stopped as planned, an endpoint drains and the
// configuration changes while watches repeat themselves.
func TestSixteenBalancers(t *testing.T) {
	f := newFleet(t)
	opts := standin.EndpointOptions{ServiceTime: 10 * time.Millisecond, Spread: 0.5}
	for i := range 8 {
		f.addEndpoint("bennani", "petitions", fmt.Sprintf("petition-%d", i), "medina", opts)
		f.addEndpoint("bennani", "archives", fmt.Sprintf("archive-%d", i), "tribunal", opts)
	}
	f.apply(bennani)
	zones := []string{"medina", "tribunal", "ville-nouvelle", "back-room"}
	for i := range 16 {
		f.addBalancer(fmt.Sprintf("vm-%02d", i), zones[i%len(zones)], "bennani")
	}
	f.list()
	f.ready()
	c := f.startCallers(80, f.balancers[6:]...)
	c.more(100)
	f.put("/v1/faults", standin.Faults{RepeatWatch: true})
	f.apply(bennani)
	f.balancers[0].signal(syscall.SIGKILL)
	f.balancers[1].signal(syscall.SIGKILL)
	f.balancers[2].signal(syscall.SIGSTOP)
	f.balancers[3].signal(syscall.SIGTERM)
	f.endpoints["petition-3"].Set(standin.Behavior{Draining: true})
	c.more(300)
	assert.Equal(t, f.balancers[3].exitCode(), 0)
	f.balancers[2].signal(syscall.SIGCONT)
	f.balancers = append(f.balancers[2:3], f.balancers[4:]...)
	eventually(t, "13 members everywhere", func() bool {
		for _, b := range f.balancers {
			if len(b.status().Members) != 13 {
				return false
			}
		}
		return true
	})
	eventually(t, "version 2 everywhere", func() bool { return f.lowestVersion() == 2 })
	c.more(100)
	f.gone(c, "petition-3")
}
