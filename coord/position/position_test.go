package position_test

import (
	"testing"

	"github.com/lotuswing/lotuswing/coord/position"
	"gotest.tools/v3/assert"
)

// TestLaterEraComesAfterAllRevisions checks the order and the parts of positions.
func TestLaterEraComesAfterAllRevisions(t *testing.T) {
	const most = 1<<40 - 1
	last := uint64(0)
	for _, p := range [][2]uint64{{0, 1}, {0, 38}, {0, most}, {1, 0}, {1, 36}, {2, 5}, {1<<24 - 1, most}} {
		at, err := position.New(p[0], p[1])
		assert.NilError(t, err)
		assert.DeepEqual(t, [2]uint64{position.Era(at), position.Revision(at)}, p)
		assert.Assert(t, at > last, "%v", p)
		assert.Equal(t, position.Restored(last, at), p[0] > position.Era(last), "%v", p)
		last = at
	}
	assert.Equal(t, position.Text(38), "38")
	_, err := position.New(1<<24, 0)
	assert.ErrorIs(t, err, position.ErrOutOfRange)
	_, err = position.New(0, most+1)
	assert.ErrorIs(t, err, position.ErrOutOfRange)
}
