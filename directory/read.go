package directory

import (
	"context"
	"time"
)

// Read reads everything cheaply and applies it. What it reads may be seconds
// old; the watch brings later changes. The first read of a PagedSource applies its pages as
// they arrive, up to MinServingEntries endpoints, so that a balancer can serve early.
func (f *Follower) Read(ctx context.Context) error {
	paged, ok := f.source.(PagedSource)
	if !ok || f.directory.Snapshot().Revision > 0 {
		return f.readAll(ctx, false)
	}
	entries := 0
	return f.read(ctx, fullReadTimeout, false, func(ctx context.Context) (Changes, error) {
		return paged.ReadPages(ctx, false, func(page Changes) bool {
			entries += len(page.Entries)
			page.Partial, page.Via = true, ViaRead
			f.Apply(page)
			return entries < MinServingEntries
		})
	})
}

// MinServingEntries is the least number of endpoints that a balancer must know to serve before it
// has a copy of everything, which takes long with thousands of endpoints. Deployments with fewer
// endpoints get the whole copy at once.
const MinServingEntries = 1024

// ReadRegistrations reads only the registrations of balancers, cheaply, and applies
// them.
func (f *Follower) ReadRegistrations(ctx context.Context) error {
	return f.read(ctx, f.opts.CheckTimeout, false, f.source.ReadRegistrations)
}

// ReadAgain has everything read again at once, if the store is watched: another process has heard that the
// store was restored from a copy.
func (f *Follower) ReadAgain() { f.abandonWatch(readAgain) }

// readInitial reads everything for the first time and retries until it succeeds. A balancer that
// knows nothing refuses every request, so the pauses between the attempts don't grow.
func (f *Follower) readInitial(ctx context.Context) {
	for err := f.Read(ctx); err != nil && ctx.Err() == nil; err = f.Read(ctx) {
		f.failures.Store(0)
		f.pauseAfterFailure(ctx, "read", err)
	}
}

// readExactly reads everything exactly, after the store compacted its history or a watch missed
// changes, and retries until it succeeds.
func (f *Follower) readExactly(ctx context.Context) {
	for err := f.readAll(ctx, true); err != nil && ctx.Err() == nil; err = f.readAll(ctx, true) {
		f.pauseAfterFailure(ctx, "read", err)
	}
}

// readAll reads everything, exactly or cheaply, and applies it.
func (f *Follower) readAll(ctx context.Context, exact bool) error {
	return f.read(ctx, fullReadTimeout, exact, func(ctx context.Context) (Changes, error) { return f.source.ReadAll(ctx, exact) })
}

// read makes a reading call with the given timeout and applies its result. Only an exact read of everything
// confirms what is known.
func (f *Follower) read(ctx context.Context, timeout time.Duration, exact bool, call func(context.Context) (Changes, error)) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.calls.Add(1)
	began := time.Now()
	changes, err := call(ctx)
	if err != nil {
		return err
	}
	f.recordAnswer()
	changes.Via, changes.Since = ViaRead, f.Confirmed()
	f.Apply(changes)
	if changes.Complete && exact {
		f.Confirm(began)
	}
	if changes.Complete {
		f.costs.observeRead(time.Since(began))
	}
	return nil
}
