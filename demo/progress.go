package demo

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/load"
)

// Progress is what callers have been told so far, while a demo runs.
type Progress struct {
	Elapsed time.Duration
	Events  []string // what has been done to the parts so far, the last one last
	Kinds   []KindProgress
}

// KindProgress is a line of it: one request kind of one tenant.
type KindProgress struct {
	Tenant, Kind             string
	Calls, Ran, NotRun, Open int64
	Reasons                  map[string]int64 // by reason code, why requests did not run
}

// Why returns the reasons by their number, the most frequent first.
func (k KindProgress) Why() string {
	codes := slices.SortedFunc(maps.Keys(k.Reasons), func(a, b string) int {
		return cmp.Or(cmp.Compare(k.Reasons[b], k.Reasons[a]), strings.Compare(a, b))
	})
	var parts []string
	for _, code := range codes {
		parts = append(parts, fmt.Sprintf("%s %d", code, k.Reasons[code]))
	}
	return strings.Join(parts, ", ")
}

// progress counts while a demo runs. It is safe for concurrent use.
type progress struct {
	mu     sync.Mutex
	kinds  []KindProgress
	events []string
}

// answered counts an answer to a request.
func (p *progress) answered(tenantName, kind string, a load.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.kinds, func(k KindProgress) bool { return k.Tenant == tenantName && k.Kind == kind })
	if i < 0 {
		i = len(p.kinds)
		p.kinds = append(p.kinds, KindProgress{Tenant: tenantName, Kind: kind, Reasons: map[string]int64{}})
	}
	k := &p.kinds[i]
	k.Calls++
	switch {
	case a.Err == nil && a.Whole && a.Verdict == verdict.Ran.String():
		k.Ran++
	case a.Verdict == verdict.NotRun.String():
		k.NotRun++
	default:
		k.Open++
	}
	if a.Reason != "" {
		k.Reasons[a.Reason]++
	}
}

// happened notes something that was done to the parts.
func (p *progress) happened(what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, what)
}

// now returns what is known so far, by tenant and kind.
func (p *progress) now(elapsed time.Duration) Progress {
	p.mu.Lock()
	defer p.mu.Unlock()
	kinds := slices.Clone(p.kinds)
	for i := range kinds {
		kinds[i].Reasons = maps.Clone(kinds[i].Reasons)
	}
	slices.SortFunc(kinds, func(a, b KindProgress) int {
		return cmp.Or(strings.Compare(a.Tenant, b.Tenant), strings.Compare(a.Kind, b.Kind))
	})
	return Progress{Elapsed: elapsed, Events: slices.Clone(p.events), Kinds: kinds}
}

// report shows the progress from time to time until ctx ends.
func (r *run) report(ctx context.Context) {
	if r.opts.Show == nil {
		return
	}
	for pause.For(ctx, r.opts.ShowEvery); ctx.Err() == nil; pause.For(ctx, r.opts.ShowEvery) {
		r.opts.Show(r.progress.now(time.Since(r.started)))
	}
}
