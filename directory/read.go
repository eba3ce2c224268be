package directory

import (
	"context"
	"time"
)

// Read reads everything cheaply and brings it into force. It may tell things that
// are seconds old; following tells what it lacks. What a balancer needs to serve is in
// force after the first pages.
func (f *Follower) Read(ctx context.Context) error {
	paged, ok := f.source.(PagedSource)
	if !ok || f.directory.Snapshot().At > 0 {
		return f.readAll(ctx, false)
	}
	entries := 0
	return f.read(ctx, readWait, func(ctx context.Context) (Changes, error) {
		return paged.ReadPages(ctx, false, func(page Changes) bool {
			entries += len(page.Entries)
			page.Part = true
			f.Apply(page)
			return entries < PartEntries
		})
	})
}

// PartEntries is how many endpoints a balancer has to know, at the least, to serve before it
// has a copy of everything, which takes long where there are thousands. Deployments with fewer
// endpoints get the whole copy at once.
const PartEntries = 1024

// ReadRegistrations reads the registrations of balancers alone, cheaply, and brings
// them into force.
func (f *Follower) ReadRegistrations(ctx context.Context) error {
	return f.read(ctx, f.opts.CheckWait, f.source.ReadRegistrations)
}

// begin reads everything for the first time. A balancer that knows nothing refuses
// everything: it tries without growing pauses.
func (f *Follower) begin(ctx context.Context) {
	for err := f.Read(ctx); err != nil && ctx.Err() == nil; err = f.Read(ctx) {
		f.failures.Store(0)
		f.failed(ctx, "read", err)
	}
}

// readAgain reads everything exactly, after the history went or a watch missed
// changes.
func (f *Follower) readAgain(ctx context.Context) {
	for err := f.readAll(ctx, true); err != nil && ctx.Err() == nil; err = f.readAll(ctx, true) {
		f.failed(ctx, "read", err)
	}
}

func (f *Follower) readAll(ctx context.Context, exact bool) error {
	return f.read(ctx, readWait, func(ctx context.Context) (Changes, error) { return f.source.ReadAll(ctx, exact) })
}

// read makes a call that reads, for at most within, and brings what it tells into force.
func (f *Follower) read(ctx context.Context, within time.Duration, call func(context.Context) (Changes, error)) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	f.calls.Add(1)
	changes, err := call(ctx)
	if err != nil {
		return err
	}
	f.noteAnswer()
	f.Apply(changes)
	return nil
}
