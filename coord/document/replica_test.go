package document_test

import (
	"errors"
	"flag"
	"os"
	"sync"
	"testing"

	"github.com/lotuswing/lotuswing/coord/document"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.checks", "2000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestReplicasNeverGoBack spreads versions between replicas by messages that
// come late, twice and out of order, with stale reads and rejected versions.
func TestReplicasNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := make([]document.Replica, 4)
		inForce := make([]uint64, len(replicas))
		var published []document.Value
		var inFlight []document.Value
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")
			check := func(v document.Value) error {
				if v.Version%7 == 0 {
					return errors.New("not acceptable")
				}
				assert.Assert(t, v.Version > inForce[i], "version %d after %d", v.Version, inForce[i])
				inForce[i] = v.Version
				return nil
			}
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0: // an operator publishes
				published = append(published, document.Value{Name: "c", Version: uint64(len(published) + 1)})
			case 1: // a read of the store, perhaps a stale one
				if len(published) > 0 {
					_, _ = replicas[i].Offer(rapid.SampledFrom(published).Draw(t, "read"), check)
				}
			case 2: // a replica sends what it has
				if v, ok := replicas[i].Get("c"); ok {
					inFlight = append(inFlight, v)
				}
			case 3: // some message sent earlier arrives, not for the last time
				if len(inFlight) > 0 {
					_, _ = replicas[i].Offer(rapid.SampledFrom(inFlight).Draw(t, "message"), check)
				}
			}
			v, _ := replicas[i].Get("c")
			assert.Equal(t, v.Version, inForce[i])
		}
	})
}

// TestConcurrentOffersKeepTheHighest races offers of one replica.
func TestConcurrentOffersKeepTheHighest(t *testing.T) {
	for range 200 {
		var r document.Replica
		var wg sync.WaitGroup
		var last uint64
		for v := range uint64(8) {
			wg.Go(func() {
				_, _ = r.Offer(document.Value{Name: "c", Version: v + 1}, func(v document.Value) error {
					assert.Check(t, v.Version > last) // under the replica's lock
					last = v.Version
					return nil
				})
			})
		}
		wg.Wait()
		got, _ := r.Get("c")
		assert.Equal(t, got.Version, uint64(8))
	}
}
