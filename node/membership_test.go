package node

import (
	"testing"

	"github.com/lotuswing/lotuswing/coord/member"
	"gotest.tools/v3/assert"
)

// TestDigestIsOfOneMoment: a node that settles while a digest is made must not claim
// the fleet's versions with those that it had before.
func TestDigestIsOfOneMoment(t *testing.T) {
	m := newMembership(member.Member{ID: "vm-1"}, 1)
	d := m.digest(func() map[string]uint64 {
		if m.mu.TryLock() {
			m.settled = true
			m.mu.Unlock()
		}
		return map[string]uint64{"config/t": 1}
	})
	assert.Assert(t, !d.Settled)
	assert.Equal(t, d.Versions["config/t"], uint64(1))
	m.settle()
	assert.Assert(t, m.digest(func() map[string]uint64 { return nil }).Settled)
}
