package control

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/relay"
	"gotest.tools/v3/assert"
)

// TestStoreIsShown, as a balancer that follows a relay knows it, and one that does not answer.
func TestStoreIsShown(t *testing.T) {
	_, rows := storeRows([]storeOf{
		{
			Balancer: "a", Copy: relay.Status{Following: "vm-2"},
			Store: directory.Status{Era: 1, Revision: 38, Holding: true, Age: 310 * time.Millisecond, LastVia: directory.ViaRelay, LastAge: 1200 * time.Millisecond, Rereads: 2, Unusable: 3},
		},
		{Balancer: "b", Error: "refused"},
	})
	assert.DeepEqual(t, rows, [][]string{
		{"a", "1", "38", "false", "true", "310ms", "vm-2", "relay", "1.2s", "2", "3"},
		{"b", "no answer", "-", "-", "-", "-", "-", "-", "-", "-", "-"},
	})
}
