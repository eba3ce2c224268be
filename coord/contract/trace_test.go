package contract_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/placement"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestRecordedTrace replays a trace recorded from a fleet of three balancers
// under more load than its petitions bear, with one endpoint failing fast, one
// ten times slower and one draining. The decisions are those recorded, and the
// explanation is the one kept beside it.
func TestRecordedTrace(t *testing.T) {
	f, err := os.Open("testdata/petitions.jsonl")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, f.Close()) }()
	var explained strings.Builder
	assert.NilError(t, contract.Replay(f, func(r contract.Replayed) {
		assert.Assert(t, r.Same(), "line %d: recorded %v, now %v", r.Line, r.Step.Decisions, r.Again)
		explained.WriteString(r.Explain())
	}))
	golden.Assert(t, explained.String(), "petitions.golden")
}

// TestTraceFromAnyState records from the middle of a random history and
// replays the rest.
func TestTraceFromAnyState(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 3))
		l := contract.NewLedger(contract.Options{})
		now := start
		var out bytes.Buffer
		var rec *contract.Recorder
		apply := func(s contract.Step) {
			decisions := l.Apply(s)
			if rec != nil {
				rec.Record(s, decisions)
			}
		}
		apply(contract.Step{At: now, Op: contract.OpEndpoints, Endpoints: endpoints(3)})
		for i := range 300 {
			if i == 150 {
				rec = contract.NewRecorder(&out, l)
			}
			now = now.Add(time.Duration(rng.IntN(10)) * time.Millisecond)
			apply(randomStep(rng, i, now))
		}
		assert.NilError(t, rec.Err())
		steps := 0
		assert.NilError(t, contract.Replay(&out, func(r contract.Replayed) {
			steps++
			assert.Assert(t, r.Same(), "seed %d line %d: %v, now %v", seed, r.Line, r.Step.Decisions, r.Again)
		}))
		assert.Equal(t, steps, 150)
	}
}

func randomStep(rng *rand.Rand, i int, now time.Time) contract.Step {
	id := fmt.Sprintf("r%d", rng.IntN(i+1))
	vm := fmt.Sprintf("e%d", rng.IntN(3))
	switch rng.IntN(8) {
	case 0:
		return contract.Step{At: now, Op: contract.OpTick}
	case 1:
		return contract.Step{At: now, Op: contract.OpSign, VM: vm, Cold: rng.IntN(2) == 0}
	case 2:
		return contract.Step{At: now, Op: contract.OpCancel, ID: id}
	case 3:
		return contract.Step{At: now, Op: contract.OpRenew, Holder: "h", Held: []contract.Held{{ID: id, VM: vm}}}
	case 4, 5:
		return contract.Step{At: now, Op: contract.OpComplete, ID: id, Outcome: placement.Outcome(rng.IntN(4)), Took: time.Duration(rng.IntN(40)) * time.Millisecond}
	}
	return contract.Step{At: now, Op: contract.OpAcquire, Request: request(fmt.Sprintf("r%d", i), placement.Class(rng.IntN(2)), now)}
}

// TestBadTraceIsNamed: the line of what cannot be read is in the error.
func TestBadTraceIsNamed(t *testing.T) {
	nothing := func(contract.Replayed) {}
	err := contract.Replay(strings.NewReader(`{"format":"other"}`), nothing)
	assert.ErrorContains(t, err, `line 1: format is "other"`)
	raw, err := os.ReadFile("testdata/petitions.jsonl")
	assert.NilError(t, err)
	lines := strings.SplitN(string(raw), "\n", 3)
	err = contract.Replay(strings.NewReader(lines[0]+"\n"+lines[1]+"\n{broken"), nothing)
	assert.ErrorContains(t, err, "line 3")
}
