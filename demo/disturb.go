package demo

import (
	"context"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/examples"
	"github.com/lotuswing/lotuswing/standin"
)

// sample notes which versions are in force.
func (r *run) sample(ctx context.Context) {
	for {
		r.sampleOnce()
		select {
		case <-ctx.Done():
			return
		case <-time.After(sampleEvery):
		}
	}
}

func (r *run) sampleOnce() {
	for _, b := range r.balancers {
		st := b.Node().Status()
		r.mu.Lock()
		for name, v := range st.Versions {
			if strings.HasPrefix(name, "config/") {
				key := st.ID + " " + name
				r.versions[key] = append(r.versions[key], v)
			}
		}
		r.mu.Unlock()
	}
}

// disturb drains an endpoint of each tenant, slows one down and changes the
// configuration.
func (r *run) disturb(ctx context.Context) {
	span := r.opts.For
	if span == 0 {
		span = time.Minute
	}
	if !wait(ctx, span/5) {
		return
	}
	r.endpoints["archives-3"].Set(standin.Behavior{Slowness: 10})
	r.progress.happened("endpoint archives-3 turns ten times as slow; petitions-1 and record-query-1 leave")
	for _, id := range []string{"petitions-1", "record-query-1"} {
		r.endpoints[id].Set(standin.Behavior{Draining: true})
		r.mu.Lock()
		r.leaving[id] = time.Now()
		r.mu.Unlock()
	}
	if !wait(ctx, span/5) {
		return
	}
	for _, doc := range examples.Tenants {
		if err := r.apply(ctx, doc); err != nil {
			r.opts.Log.Error("change not applied", "error", err)
		}
	}
	r.progress.happened("the configuration of both tenants is written anew")
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
