package demo

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/internal/partition"
	"github.com/lotuswing/lotuswing/internal/pause"
)

// One of the balancers on the platform loses its paths to all endpoints for a part of the demo. The
// others carry its connections.

const (
	// pathsLostAfter and pathsLostFor say when, as parts of the demo's time.
	pathsLostAfter = 0.5
	pathsLostFor   = 0.2
)

// losePaths takes the paths of the last balancer away and gives them back.
func (f *crashFleet) losePaths(ctx context.Context, span time.Duration) {
	network := f.networks[len(f.networks)-1]
	pause.For(ctx, time.Duration(pathsLostAfter*float64(span)))
	f.setPathsLost(true)
	network.Set(partition.Silent)
	pause.For(ctx, time.Duration(pathsLostFor*float64(span)))
	network.Set(partition.Open)
	f.setPathsLost(false)
}

func (f *crashFleet) setPathsLost(lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pathsLost = lost
}
