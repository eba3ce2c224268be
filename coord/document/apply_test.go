package document_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/lotuswing/lotuswing/coord/document"
	"github.com/lotuswing/lotuswing/coord/internal/fakestore"
	"github.com/lotuswing/lotuswing/coord/store"
	"gotest.tools/v3/assert"
)

const key = "config/t"

// editInput and editOutput are one operation of a history.
type editInput struct {
	read bool
	id   string
	base uint64
}

type editOutput struct {
	result  document.Result
	version uint64 // made, where won; seen, where read
	winner  string // where lost; last editor, where read
	failed  bool   // a read that got no answer
}

// editModel is a register with compare-and-swap whose state is the list of
// edits in force so far, joined by spaces. An unknown outcome may or may not
// have taken effect.
var editModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		return editStep(state.(string), input.(editInput), output.(editOutput))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}).ToModel()

func editStep(state string, in editInput, out editOutput) []any {
	edits := strings.Fields(state)
	version := uint64(len(edits))
	applied := strings.TrimSpace(state + " " + in.id)
	switch {
	case in.read && out.failed:
		return []any{state}
	case in.read:
		if out.version != version || version > 0 && edits[version-1] != out.winner {
			return nil
		}
		return []any{state}
	case out.result == document.Won:
		if version != in.base || out.version != in.base+1 {
			return nil
		}
		return []any{applied}
	case out.result == document.Lost:
		if version <= in.base || edits[in.base] != out.winner || out.winner == in.id {
			return nil
		}
		return []any{state}
	}
	if version == in.base {
		return []any{state, applied}
	}
	return []any{state}
}

// history records operations of concurrent clients.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(client int, in editInput, call time.Time, out editOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returned := time.Now().UnixNano()
	if !in.read && out.result == document.Unknown {
		returned = int64(1) << 62 // it may take effect at any later time
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call.UnixNano(), Output: out, Return: returned})
}

// apply has the signature of document.Apply, so that broken ones can be put
// in its place.
type apply func(context.Context, document.Store, document.Clock, string, document.Proposal, document.ApplyOptions) (document.Outcome, error)

// editingHistory lets a few operators edit the same document over a faulty
// store and returns what each was told.
func editingHistory(seed uint64, f apply) []porcupine.Operation {
	rng := rand.New(rand.NewPCG(seed, 1))
	var rolls sync.Mutex
	roll := func(n int) int {
		rolls.Lock()
		defer rolls.Unlock()
		return rng.IntN(n)
	}
	s := fakestore.New(fakestore.Options{
		Roll: roll, Down: 15, Lost: 25, Delayed: 10,
		Pause: func() { time.Sleep(time.Duration(roll(30)) * time.Millisecond) },
	})
	h := &history{}
	var wg sync.WaitGroup
	for operator := range 3 {
		wg.Go(func() { operate(operator, s, h, f, roll) })
	}
	wg.Go(func() {
		for range 10 {
			time.Sleep(50 * time.Millisecond)
			s.Land()
		}
	})
	wg.Wait()
	return h.ops
}

func operate(operator int, s *fakestore.Store, h *history, f apply, roll func(int) int) {
	for i := range 4 {
		call := time.Now()
		seen := editOutput{failed: true}
		entry, err := s.Get(context.Background(), key)
		switch {
		case errors.Is(err, store.ErrNotFound):
			seen = editOutput{}
		case err == nil:
			doc, _ := document.Parse(entry.Value)
			seen = editOutput{version: doc.Version, winner: doc.Last().ID}
		}
		h.add(operator, editInput{read: true}, call, seen)
		time.Sleep(time.Duration(roll(60)) * time.Millisecond)
		p := document.Proposal{ID: fmt.Sprintf("edit-%d-%d", operator, i), Editor: fmt.Sprint(operator), Base: seen.version, Body: json.RawMessage(`{}`)}
		call = time.Now()
		out, _ := f(context.Background(), s, realClock{}, key, p, document.ApplyOptions{Attempts: 3, Pause: 20 * time.Millisecond})
		h.add(operator, editInput{id: p.ID, base: p.Base}, call,
			editOutput{result: out.Result, version: out.Version, winner: out.Winner.ID})
	}
}

const histories = 2000

// TestConcurrentEditsAreLinearizable checks generated histories of three
// operators, with lost answers, outages and late writes.
func TestConcurrentEditsAreLinearizable(t *testing.T) {
	results := map[document.Result]int{}
	for seed := range uint64(histories) {
		synctest.Test(t, func(t *testing.T) {
			ops := editingHistory(seed, document.Apply)
			assert.Assert(t, porcupine.CheckOperations(editModel, ops), "seed %d: %v", seed, ops)
			for _, op := range ops {
				if !op.Input.(editInput).read {
					results[op.Output.(editOutput).result]++
				}
			}
		})
	}
	t.Logf("%d histories: %v", histories, results)
	for _, r := range []document.Result{document.Won, document.Lost, document.Unknown} {
		assert.Assert(t, results[r] > histories/10, "too few edits %s to prove anything: %v", r, results)
	}
}

// brokenApply takes a lost answer for a failure, as a naive editor does.
func brokenApply(ctx context.Context, s document.Store, clock document.Clock, key string, p document.Proposal, opts document.ApplyOptions) (document.Outcome, error) {
	out, err := document.Apply(ctx, s, clock, key, p, document.ApplyOptions{Attempts: 1, Pause: opts.Pause})
	if errors.Is(err, store.ErrUnknown) {
		out.Result, out.Winner = document.Lost, document.Edit{ID: "somebody"}
	}
	return out, err
}

// TestEditCheckerCatchesAFalseLoss shows that the checker can fail.
func TestEditCheckerCatchesAFalseLoss(t *testing.T) {
	caught := 0
	for seed := range uint64(50) {
		synctest.Test(t, func(*testing.T) {
			if !porcupine.CheckOperations(editModel, editingHistory(seed, brokenApply)) {
				caught++
			}
		})
	}
	assert.Assert(t, caught > 25, "caught in %d of 50 histories", caught)
}

// TestLostAnswerIsSettledByReading: the edit took effect though its answer was
// lost, and is not made twice.
func TestLostAnswerIsSettledByReading(t *testing.T) {
	writes := 0
	s := fakestore.New(fakestore.Options{Lost: 100, Roll: func(int) int { writes++; return 0 }})
	p := document.Proposal{ID: "mine", Editor: "e", Body: json.RawMessage(`{}`)}
	synctest.Test(t, func(t *testing.T) {
		out, err := document.Apply(context.Background(), s, realClock{}, key, p, document.ApplyOptions{})
		assert.NilError(t, err)
		assert.Equal(t, out.Result, document.Won)
		assert.Equal(t, out.Current.Version, uint64(1))
		assert.Equal(t, writes, 1)
	})
}

// realClock is the machine's.
type realClock struct{}

func (realClock) Now() time.Time { return time.Now() }

func (realClock) Pause(_ context.Context, d time.Duration) { time.Sleep(d) }
