package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWatchAndCheckNoticeEachOther guards against a change that neither the watch nor the monitor
// follows up, because a check saw it just as a watch began without it.
func TestWatchAndCheckNoticeEachOther(t *testing.T) {
	const known, seen = 5, 6
	const now = time.Second
	var checkFirst watching
	confirmed := time.Unix(1000, 0)
	assert.Assert(t, !checkFirst.observe(seen, confirmed), "no watch waits yet")
	assert.Equal(t, checkFirst.begin(now, known), lack{behind: true, confirmed: confirmed}, "the watch begins behind the check")

	var watchFirst watching
	assert.Assert(t, !watchFirst.begin(now, known).behind, "no check has seen more")
	assert.Assert(t, watchFirst.observe(seen, confirmed), "a watch waits")
	watchFirst.end()
	assert.Assert(t, !watchFirst.observe(seen, confirmed), "the watch has ended")
}
