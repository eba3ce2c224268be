package server_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/quarantine"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// quarantineOf returns what a balancer lists.
func (b platformBalancer) quarantineOf(t *testing.T) (list []quarantine.Status) {
	t.Helper()
	resp, err := http.Get("http://" + b.admin + "/quarantine")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }() // read to its end
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&list))
	return list
}

// decree has a balancer carry out an operator's word and returns the status.
func (b platformBalancer) decree(t *testing.T, fingerprint, word string) int {
	t.Helper()
	resp, err := http.Post("http://"+b.admin+"/quarantine/"+fingerprint+"/"+word, "", nil)
	assert.NilError(t, err)
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode
}

// TestOperatorsSeeAndRelease: a refused request is listed with the evidence at each balancer,
// also at one that starts later, and a release at one of them holds at all.
func TestOperatorsSeeAndRelease(t *testing.T) {
	r := newPlatformRig(t)
	r.processes(t, 8, false)
	first := r.start(t, "vm-1")
	first.waitReady(t)
	second := r.start(t, "vm-2", first.link)
	second.waitReady(t)
	waitOneRelay(t, []platformBalancer{first, second})
	for range 8 {
		first.callFor(t, "/y/"+crashing)
		time.Sleep(20 * time.Millisecond) // processes start again
	}
	step := func(b platformBalancer, want string) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			list := b.quarantineOf(t)
			if len(list) == 1 && list[0].Step == want {
				return poll.Success()
			}
			return poll.Continue("listed: %v", list)
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	}
	step(first, "refuse")
	step(second, "refuse")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(r.store.Keys("lotuswing/quarantine/")) == 1 {
			return poll.Success()
		}
		return poll.Continue("not in the store")
	}, poll.WithTimeout(20*time.Second))
	third := r.start(t, "vm-3", first.link)
	third.waitReady(t)
	step(third, "refuse")
	is := third.quarantineOf(t)[0]
	assert.Equal(t, is.Service, "fragile")
	assert.Equal(t, is.Kind, "safe")
	assert.Assert(t, strings.Contains(is.Evidence, "seen by vm-1, on trial"), is.Evidence)
	assert.Equal(t, third.callFor(t, "/y/"+crashing), http.StatusServiceUnavailable)
	assert.Equal(t, third.callFor(t, "/y/sound"), http.StatusOK)

	assert.Equal(t, third.decree(t, string(is.Fingerprint), "release"), http.StatusNoContent)
	for _, b := range []platformBalancer{first, second, third} {
		step(b, "try")
	}
	assert.Equal(t, second.decree(t, string(is.Fingerprint), "refuse"), http.StatusNoContent)
	for _, b := range []platformBalancer{first, second, third} {
		step(b, "refuse")
	}
	assert.Equal(t, first.decree(t, "abc", "refuse"), http.StatusBadRequest)
	assert.Equal(t, first.decree(t, strings.Repeat("ab", 16), "release"), http.StatusNotFound)
}
