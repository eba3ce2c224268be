package server_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/tenant"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// maxOddValue is the size of the longest odd value, in bytes.
const maxOddValue = 1 << 18

// oddValues are values that no server, operator or balancer writes.
var oddValues = []string{
	"", "null", "[]", `"\ud800"`, "\xff\xfe", "1e400", strings.Repeat("[", maxOddValue), strings.Repeat(`{"a":`, 2_000), `{"x":` + strings.Repeat("[", 2_000) + strings.Repeat("]", 2_000) + "}",
	`{"address":"127.0.0.1:99999999999","info":{"service":"s","version":"v","zone":"medina","slots":1e400},"status":{"state":"ready","seq":1e19,"warmupLeftMs":-1e308}}`,
	`{"address":"127.0.0.1:0","info":{"service":"s","version":"v","zone":"medina","slots":3},"status":{"state":"ready","seq":1,"warmupLeftMs":0}}`,
	`{"address":"127.0.0.1:9","info":{"service":"` + strings.Repeat("s", 5_000) + `","version":"v","zone":"medina","slots":3},"status":{"state":"ready","seq":1,"warmupLeftMs":9e15}}`,
}

// putOddRecords writes each odd value at keys that balancers read, under names that begin with prefix. The longest
// one is a server's entry alone: several would slow reads down.
func putOddRecords(store *platformtest.Store, prefix string) (written int) {
	for i, value := range oddValues {
		name := fmt.Sprintf("%s%d", prefix, i)
		fingerprint := crash.Request{Method: http.MethodGet, Path: "/" + name}.Fingerprints().Exact
		for _, key := range []string{
			"servers/" + name, "servers/" + name + strings.Repeat("x", 190-len(name)), "op/rollout/" + name, "op/evacuate/" + name,
			"lotuswing/relays/" + name, "lotuswing/rollouts/" + name, "lotuswing/quarantine/" + string(fingerprint), "lotuswing/quarantine/" + name,
			"lotuswing/trials/" + string(fingerprint), "lotuswing/" + name, name,
		} {
			if len(value) < maxOddValue || key == "servers/"+name {
				store.PutKey(key, []byte(value))
				written++
			}
		}
	}
	return written
}

// TestOddRecordsTakeNothingWithThem guards against records of another writer that end a balancer or keep it from following the store.
func TestOddRecordsTakeNothingWithThem(t *testing.T) {
	r := newPlatformRig(t)
	written := putOddRecords(r.store, "a")
	all := []platformBalancer{r.start(t, "vm-1"), r.start(t, "vm-2")}
	for i, b := range all {
		b.waitReady(t)
		assert.Equal(t, b.call(t), http.StatusOK, "balancer %d", i)
	}
	version := uint64(1)
	follow := func(when string) {
		t.Helper()
		version++
		id := fmt.Sprintf("n-%d", version)
		endpoint := httptest.NewServer(platformtest.NewEndpoint(id, platformtest.Behavior{ServiceTime: time.Millisecond}))
		t.Cleanup(endpoint.Close)
		r.store.PutServer(id, platformtest.Server{Address: endpoint.Listener.Addr().String(), Service: id, Zone: "medina", Slots: 3})
		r.store.Publish(version, []tenant.PrefixRoute{{
			Name: "r", Host: "a.example", Prefix: "/x/", Repeatable: true, Timeout: 10 * time.Second, Target: 10 * time.Second, MaxAttempts: 2,
			Split: []tenant.Share{{Service: id, Weight: 1}},
		}}, map[string]tenant.Service{id: {Connections: 100, ProbePath: "/health"}})
		for i, b := range all {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if st := b.status(t); st.Version != version {
					return poll.Continue("balancer %d, %s: version %d", i, when, st.Version)
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
			assert.Equal(t, b.call(t), http.StatusOK, "balancer %d, %s", i, when)
		}
	}
	follow("after odd records at the start")
	written += putOddRecords(r.store, "b")
	follow("after odd records")
	r.store.Compact()
	follow("after the history was dropped")
	all = append(all, r.start(t, "vm-3", all[0].link))
	all[2].waitReady(t)
	follow("after a start")
	for range 3 {
		r.store.Compact()
		follow("after a full read")
	}
	logs := r.logs.String()
	assert.Assert(t, len(logs) <= 1024*len(all)*written, "%d bytes of the log for %d records", len(logs), written)
	logged := map[string]bool{}
	for line := range strings.Lines(logs) {
		_, line, _ = strings.Cut(line, " ") // the time
		line, _, _ = strings.Cut(line, " revision=")
		if strings.Contains(line, "unusable entry") || strings.Contains(line, "not read:") || strings.Contains(line, "could not parse") {
			assert.Assert(t, !logged[line], "logged twice: %s", line)
			logged[line] = true
		}
	}
	assert.Assert(t, len(logged) >= written, "%d lines for %d records", len(logged), written)
}
