package systemtest

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/standin"
	"gotest.tools/v3/assert"
)

// olderVariable names a lotuswing binary of an earlier version; where it is not
// set, both versions of a fleet are the present one. .ci/older sets it.
const olderVariable = "LOTUSWING_OLDER_BINARY"

// startOlder runs lotuswing of the earlier version.
func startOlder(t *testing.T, args ...string) *process {
	t.Helper()
	path := os.Getenv(olderVariable)
	if path == "" {
		return start(t, "lotuswing", args...)
	}
	return startCommand(t, exec.Command(path, args...))
}

// TestTwoVersionsInOneFleet: balancers of two versions are homes of services for
// one another while requests wait in their queues, and a planned stop of each
// home, of the older version and then of the newer one, refuses nothing.
func TestTwoVersionsInOneFleet(t *testing.T) {
	f := newFleet(t)
	for i := range 2 {
		opts := standin.EndpointOptions{ServiceTime: 100 * time.Millisecond}
		f.addEndpoint("bennani", "petitions", fmt.Sprintf("petition-%d", i), "medina", opts)
		f.addEndpoint("bennani", "archives", fmt.Sprintf("archive-%d", i), "medina", opts)
	}
	f.apply(bennani)
	older := func(args ...string) *process { return startOlder(t, args...) }
	isOlder := map[string]bool{"old-1": true, "old-6": true}
	// The names decide, by a hash, who is whose home: old-1 of the petitions, new-4 of
	// the archives.
	f.addBalancerRunning(older, "old-1", "medina", "bennani")
	f.addBalancer("new-1", "tribunal", "bennani")
	f.addBalancerRunning(older, "old-6", "ville-nouvelle", "bennani")
	f.addBalancer("new-4", "medina", "bennani")
	f.list()
	f.ready()

	petitions, archives := "bennani/petitions", "bennani/archives"
	first, _ := f.homeOf(petitions)
	second, _ := f.homeOf(archives)
	assert.Assert(t, isOlder[first.id] != isOlder[second.id], "homes are %s and %s: both of one version", first.id, second.id)
	var callers []*balancerProcess
	for _, b := range f.balancers {
		if b != first && b != second {
			callers = append(callers, b)
		}
	}
	c := f.startCallers(50, callers...) // of 60 that six slots serve in a second
	for _, home := range []*balancerProcess{first, second} {
		service := petitions
		if home == second {
			service = archives
		}
		eventually(t, "requests wait at "+home.id, func() bool {
			waiting := home.status().Services[service].Waiting
			return waiting["interactive"]+waiting["patient"] > 0
		})
		home.signal(syscall.SIGTERM)
		c.more(200)
		assert.Equal(t, home.exitCode(), 0)
	}
	c.checkNoneRefused()
}
