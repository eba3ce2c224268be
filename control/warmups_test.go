package control

import (
	"bytes"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/coord/warmup"
	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/server"
	"github.com/lotuswing/lotuswing/warmups"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestWarmupRows checks what an owner and a balancer that is none show of endpoints in warm-up.
func TestWarmupRows(t *testing.T) {
	st := server.WarmupStatus{
		Permits: warmups.Status{
			Owner: true, Held: 1, Asked: 9, Denied: 3, Unanswered: 2, Used: 4, Granted: 12,
			Endpoints: []warmup.Status{{Endpoint: "i-1", Granted: 12, Failures: 2, Paused: 400 * time.Millisecond}},
		},
		Endpoints: []direct.WarmupStatus{
			{Endpoint: "i-1", Service: "depot", Zone: "medina", WarmingUp: true, Standing: "denied", OpensIn: 70 * time.Millisecond},
			{Endpoint: "i-2", Service: "depot", Zone: "tribunal", Standing: "askable"},
		},
	}
	var out bytes.Buffer
	e := &command.Env{Out: &out, Format: "table"}
	assert.NilError(t, e.Table(warmupRows(st)))
	golden.Assert(t, out.String(), "warmups.golden")
}
