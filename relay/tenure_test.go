package relay

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/position"
	"github.com/lotuswing/lotuswing/coord/warmup"
	"gotest.tools/v3/assert"
)

// TestTenure checks that a tenure goes on only with the same lease, in the same era of the store and without
// a suspension of the VM, and that it waits for others after a restore of the store.
func TestTenure(t *testing.T) {
	const ttl = 3 * time.Second
	began := time.Unix(1000, 0)
	sent, now := began.Add(10*time.Second), began.Add(10*time.Second+time.Millisecond)
	restored, err := position.New(1, 7)
	assert.NilError(t, err)
	held := tenure{Tenure: warmup.Tenure{Since: began, Until: began.Add(time.Second)}, lease: 5}
	for _, c := range []struct {
		name      string
		own       Relay
		suspended time.Duration
		notBefore time.Time
		since     time.Time
	}{
		{"the same lease", Relay{lease: 5, revision: 7}, 0, time.Time{}, began},
		{"another lease", Relay{lease: 6, revision: 7}, 0, time.Time{}, now},
		{"after it replaced a registration", Relay{lease: 6, revision: 7}, 0, now.Add(time.Second), now.Add(time.Second)},
		{"after a suspension", Relay{lease: 5, revision: 7}, time.Second, time.Time{}, now},
		{"after a restore", Relay{lease: 5, revision: restored}, 0, time.Time{}, now.Add(ttl)},
	} {
		held.notBefore = c.notBefore
		got := held.withRenewal(c.own, ttl, c.suspended, sent, now)
		assert.Equal(t, got.Since, c.since, c.name)
		assert.Equal(t, got.Until, sent.Add(ttl-ttl/8), c.name)
	}
}

// TestTenureEndsBeforeRegistration checks that a balancer that leaves is no owner any more.
func TestTenureEndsBeforeRegistration(t *testing.T) {
	g := New(Config{Zone: "medina", Addr: "a", Registry: fakeRegistry{}, Log: hclog.NewNullLogger(), Options: Options{TTL: time.Hour}})
	own := Relay{lease: 5, revision: 7}
	g.extendTenure(own, time.Now(), 0)
	assert.Assert(t, g.Tenure("medina").Contains(time.Now()))
	assert.Equal(t, g.Tenure("tribunal"), warmup.Tenure{})
	g.leaving.Store(true)
	assert.Equal(t, g.Tenure("medina"), warmup.Tenure{})
	g.extendTenure(own, time.Now(), 0)
	g.leaving.Store(false)
	g.endTenure()
	assert.Equal(t, g.Tenure("medina"), warmup.Tenure{})
}
