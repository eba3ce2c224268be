package relay_test

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/platform"
	"github.com/lotuswing/lotuswing/platform/platformtest"
	"gotest.tools/v3/assert"
)

// TestRestoredStoreReachesAllBalancers guards against followers that take a relay's content of an earlier or
// later era for their own, and against calls without end, after the store was restored from a copy.
func TestRestoredStoreReachesAllBalancers(t *testing.T) {
	for _, c := range []struct {
		lost  int  // writes that the copy lacks
		twice bool // the store is restored once more at once
		late  bool // the relay is turned away meanwhile
	}{{0, false, false}, {2, false, false}, {2, true, false}, {40, false, true}, {1000, false, false}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			store := platformtest.NewStore()
			publish(store, 1)
			store.PutServer("i-leaves", platformtest.Server{Service: "s"})
			store.PutServer("i-stays", platformtest.Server{Service: "s"})
			all, zoneRelay, _ := startZone(t, store, 4)
			publishAndWait(t, store, 2, all...)
			saved := store.Copy()
			for i := range c.lost {
				store.PutServer(fmt.Sprint("i-lost-", i%10), platformtest.Server{Service: "s"})
			}
			publishAndWait(t, store, 3, all...)

			zoneRelay.refused.Store(c.late)
			callsBefore := make([]int64, len(all))
			for i, m := range all {
				callsBefore[i] = m.calls.Load()
			}
			store.Restore(saved, 50*time.Millisecond)
			if c.twice {
				store.Restore(saved, 50*time.Millisecond)
			}
			store.PutServer("i-leaves", platformtest.Server{Service: "s", Draining: true})
			for i, m := range all {
				if m == zoneRelay && c.late {
					continue
				}
				waitUntil(t, fmt.Sprintf("%d knows that an endpoint leaves", i), func() bool {
					e, _ := m.directory.Endpoint("i-leaves")
					return e.State == directory.Leaving
				})
				assert.Equal(t, m.version(), uint64(3), "no version goes back")
			}
			zoneRelay.refused.Store(false)
			publishAndWait(t, store, 4, all...)
			for i, m := range all {
				calls := m.calls.Load() - callsBefore[i]
				assert.Assert(t, c.late || calls <= 60, "%d made %d calls", i, calls)
			}
		})
	}
}

// TestRelayOfEarlierEraIsNotFollowed checks that a relay that has not heard of a restore reads the store again
// when a follower has, and is not taken for settled until then.
func TestRelayOfEarlierEraIsNotFollowed(t *testing.T) {
	store := platformtest.NewStore()
	publish(store, 1)
	all, zoneRelay, others := startZone(t, store, 3)
	publishAndWait(t, store, 2, all...)
	saved := store.Copy()
	publishAndWait(t, store, 3, all...)
	zoneRelay.refused.Store(true)
	store.Restore(saved, time.Hour)
	publish(store, 5)
	for _, m := range others {
		waitUntil(t, "version 5", func() bool { return m.version() == 5 })
	}
	zoneRelay.refused.Store(false)
	waitUntil(t, "version 5 at the relay", func() bool { return zoneRelay.version() == 5 })
	publishAndWait(t, store, 6, all...)
}

// TestUnsettledRelayHandsOnWhatItKnows guards against followers that wait at a relay which has lost the store and
// has heard of a change from a balancer that they do not reach.
func TestUnsettledRelayHandsOnWhatItKnows(t *testing.T) {
	store := platformtest.NewStore()
	publish(store, 1)
	all, zoneRelay, others := startZone(t, store, 3)
	publishAndWait(t, store, 2, all...)
	for _, m := range all {
		m.refused.Store(true)
	}
	waitUntil(t, "the store lost", func() bool { return !zoneRelay.follower.UpToDate(time.Now()) })
	publish(store, 3)
	elsewhere := platform.NewStore(serve(t, store))
	read, err := elsewhere.ReadAll(t.Context(), true)
	assert.NilError(t, err)
	zoneRelay.follower.Apply(read)
	for i, m := range others {
		waitUntil(t, fmt.Sprintf("version 3 at %d", i), func() bool { return m.version() == 3 })
		assert.Assert(t, !m.follower.UpToDate(time.Now()))
	}
}

// TestZoneHasRelayAfterRestore checks that a zone gets one relay again whose registration a copy lacks, or of which
// it has that of a balancer that has gone.
func TestZoneHasRelayAfterRestore(t *testing.T) {
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprintf("gone=%t", gone), func(t *testing.T) {
			store := platformtest.NewStore()
			publish(store, 1)
			saved := store.Copy()
			all, zoneRelay, others := startZone(t, store, 4)
			publishAndWait(t, store, 2, all...)
			if gone {
				saved = store.Copy()
				zoneRelay.kill()
				all = others
				waitUntil(t, "another relay", func() bool { return len(settledBalancers(all)) == 1 })
			}
			store.Restore(saved, 20*time.Millisecond)
			publishAndWait(t, store, 5, all...)
			waitUntil(t, "one relay that the others follow", func() bool {
				settled := settledBalancers(all)
				return len(settled) == 1 && len(store.Keys("lotuswing/relays/")) == 1 && settled[0].group.ServesAsRelay()
			})
			publishAndWait(t, store, 6, all...)
		})
	}
}

// serve serves a store that refuses nothing, and returns its URL.
func serve(t *testing.T, store *platformtest.Store) string {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return server.URL
}
