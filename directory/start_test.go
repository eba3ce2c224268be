package directory_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/tenant"
	"gotest.tools/v3/assert"
)

// entryOfA returns an entry of one start of the endpoint "a".
func entryOfA(start int64, revision uint64) directory.Entry {
	return directory.Entry{
		Endpoint: directory.Endpoint{Endpoint: placement.Endpoint{VM: "a", Addr: "a:1", Zone: "z", Slots: 3}, Service: "s", Start: start},
		Revision: revision,
	}
}

// apply applies entries to a directory.
func apply(d *directory.Directory, now time.Time, entries ...directory.Entry) {
	d.Apply(directory.Changes{Entries: entries}, now)
}

// startInUse returns the Start of the first usable endpoint of service s; 0 for none.
func startInUse(d *directory.Directory, now time.Time) int64 {
	for _, e := range d.Snapshot().Endpoints["s"] {
		if e.Usable(now) {
			return e.Start
		}
	}
	return 0
}

// TestAnotherStartIsAnotherServer checks that nothing known of the earlier start applies to a new start
// under the same identity, whatever the state of the earlier one was.
func TestAnotherStartIsAnotherServer(t *testing.T) {
	leaving := entryOfA(1, 2)
	leaving.Leaving = true
	for name, before := range map[string]func(*directory.Directory){
		"in use":                   func(*directory.Directory) {},
		"announced that it leaves": func(d *directory.Directory) { apply(d, start, leaving) },
		"another incarnation answered at its address": func(d *directory.Directory) { d.MarkLeaving("a", 1, start) },
		"its entry was deleted": func(d *directory.Directory) {
			d.Apply(directory.Changes{Gone: []directory.RemovedEntry{{ID: "a", Revision: 2}}}, start)
		},
		"its entry was deleted long ago": func(d *directory.Directory) {
			d.Apply(directory.Changes{Gone: []directory.RemovedEntry{{ID: "a", Revision: 2}}}, start.Add(-time.Hour))
		},
		"its entry could not be read meanwhile": func(d *directory.Directory) {
			d.Apply(directory.Changes{Gone: []directory.RemovedEntry{{ID: "a", Revision: 2, Unreadable: true}}}, start)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			cold := entryOfA(1, 1)
			cold.Warmup = time.Hour
			apply(d, start, cold)
			before(d)
			apply(d, start, entryOfA(2, 3))
			assert.Equal(t, startInUse(d, start), int64(2))
			assert.Assert(t, !d.Snapshot().Endpoints["s"][0].WarmUntil.After(start), "the warm-up of the earlier start does not apply")
			apply(d, start, entryOfA(1, 1))
			assert.Equal(t, startInUse(d, start), int64(2), "an older entry was read late")
			assert.Assert(t, !d.MarkLeaving("a", 1, start), "a late notice about the earlier start")
			assert.Equal(t, startInUse(d, start), int64(2))
		})
	}
}

// TestSameStartStaysLeaving checks that a leaving endpoint stays leaving within one start, and that
// an entry without a start is taken to be of the known one.
func TestSameStartStaysLeaving(t *testing.T) {
	for _, again := range []int64{1, 0} {
		d := directory.New()
		leaving := entryOfA(1, 2)
		leaving.Leaving = true
		apply(d, start, entryOfA(1, 1), leaving, entryOfA(again, 3))
		assert.Equal(t, startInUse(d, start), int64(0))
	}
}

// TestUnreadableEntryIsNotUsed checks that an endpoint whose entry cannot be read is not used, not
// even as a last resort, until its server writes the entry again.
func TestUnreadableEntryIsNotUsed(t *testing.T) {
	d := directory.New()
	apply(d, start, entryOfA(1, 1))
	d.Apply(directory.Changes{Gone: []directory.RemovedEntry{{ID: "a", Revision: 2, Unreadable: true}}}, start)
	assert.Equal(t, startInUse(d, start), int64(0))
	apply(d, start, entryOfA(1, 3))
	assert.Equal(t, startInUse(d, start), int64(1))
}

// TestUnconfiguredServiceIsNotCounted checks that Known does not count endpoints of services that
// are not configured: they get no requests, so a balancer that knows only them cannot serve.
func TestUnconfiguredServiceIsNotCounted(t *testing.T) {
	d := directory.New()
	apply(d, start, entryOfA(1, 1))
	d.Apply(directory.Changes{Config: &directory.Config{Version: 1, Services: map[string]tenant.Service{"other": {}}}}, start)
	assert.Equal(t, d.Snapshot().ListedCount, 0)
	d.Apply(directory.Changes{Config: &directory.Config{Version: 2, Services: map[string]tenant.Service{"s": {}}}}, start)
	assert.Equal(t, d.Snapshot().ListedCount, 1)
}

// pagedSource is a store whose full read hands over its pages one by one.
type pagedSource struct {
	*fakeSource
	pages []directory.Changes
	seen  func(page int)
}

func (s *pagedSource) ReadPages(_ context.Context, _ bool, onPage func(directory.Changes) bool) (directory.Changes, error) {
	all := directory.Changes{Complete: true, Revision: 9}
	more := true
	for i, p := range s.pages {
		all.Entries = append(all.Entries, p.Entries...)
		if p.Config != nil {
			all.Config = p.Config
		}
		more = more && onPage(p)
		s.seen(i)
	}
	return all, nil
}

// TestFirstPagesAreAppliedDuringRead checks that during a paged read, pages are applied as they
// arrive until enough endpoints to serve with are known, and that the rest is applied when
// the read ends.
func TestFirstPagesAreAppliedDuringRead(t *testing.T) {
	d := directory.New()
	source := &pagedSource{fakeSource: newFakeSource()}
	source.pages = append(source.pages, directory.Changes{Config: &directory.Config{Version: 3, Services: map[string]tenant.Service{"s": {}}}})
	for p := range 10 {
		var c directory.Changes
		for i := range 200 {
			c.Entries = append(c.Entries, entry(fmt.Sprintf("e%d-%d", p, i), uint64(200*p+i+1)))
		}
		source.pages = append(source.pages, c)
	}
	var known []int
	source.seen = func(int) { known = append(known, d.Snapshot().ListedCount) }
	f := directory.NewFollower(d, source, directory.Options{})
	assert.NilError(t, f.Read(context.Background()))
	assert.DeepEqual(t, known, []int{0, 200, 400, 600, 800, 1000, 1200, 1200, 1200, 1200, 1200})
	assert.Equal(t, d.Snapshot().ListedCount, 2000)
	assert.Equal(t, d.Snapshot().Revision, uint64(9))
}

// slowSource is a fakeSource whose full reads take long.
type slowSource struct{ *fakeSource }

func (s slowSource) ReadAll(ctx context.Context, exact bool) (directory.Changes, error) {
	select {
	case <-time.After(10 * time.Second):
		return s.fakeSource.ReadAll(ctx, exact)
	case <-ctx.Done():
		return directory.Changes{}, ctx.Err()
	}
}

// TestLongReadIsNotBegunAgain guards against a full read that never ends because all of its pages have the time of one.
func TestLongReadIsNotBegunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := slowSource{newFakeSource()}
		s.publish(1)
		d := directory.New()
		ctx, stop := context.WithCancel(t.Context())
		go directory.NewFollower(d, s, directory.Options{}).Run(ctx)
		time.Sleep(time.Minute)
		assert.Equal(t, d.Snapshot().Revision, uint64(1))
		stop()
		synctest.Wait()
	})
}
