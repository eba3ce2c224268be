package soak

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// striker is a kind of fault that strikes beside the others.
type striker struct {
	gap    time.Duration // mean, between two of them; 0 for none
	stream uint64        // of random numbers, so that the plays of seeds without it stay what they were
	strike func(ctx context.Context, gap time.Duration, rng *rand.Rand, report func(string))
}

// strikeBeside lets these faults strike until ctx ends. The function that it returns waits for
// their end and says how many there were of each kind.
func (w *world) strikeBeside(ctx context.Context, cfg Config) func() map[string]int {
	strikers := []striker{
		{cfg.Together, 0, w.strikeTogether},
		{cfg.Half, math.MaxUint64 - 400, w.strikeHalf},
		{cfg.Empty, math.MaxUint64, w.strikeZones},
		{cfg.Limit, math.MaxUint64 - 100, w.strikeLimits},
		{cfg.Words, math.MaxUint64 - 200, w.strikeWords},
		{cfg.Teams, math.MaxUint64 - 300, w.strikeTeams},
		{cfg.Stops, math.MaxUint64 - 600, w.strikeStops},
		{cfg.Partition, math.MaxUint64 - 500, w.strikePartitions},
		{cfg.Restore, math.MaxUint64 - 700, w.strikeRestores},
		{cfg.Cold, math.MaxUint64 - 800, w.strikeCold},
		{cfg.Odd, math.MaxUint64 - 900, w.strikeOdd},
	}
	if w.crashes != nil {
		strikers = append(strikers, striker{cfg.Crash, math.MaxUint64 - 1, w.crashes.strike})
	}
	var (
		done sync.WaitGroup
		mu   sync.Mutex
	)
	struck := map[string]int{}
	report := func(kind string) {
		mu.Lock()
		defer mu.Unlock()
		struck[kind]++
	}
	for _, s := range strikers {
		if s.gap > 0 {
			rng := rand.New(rand.NewPCG(cfg.Seed, s.stream))
			done.Go(func() { s.strike(ctx, s.gap, rng, report) })
		}
	}
	return func() map[string]int {
		done.Wait()
		return struck
	}
}
