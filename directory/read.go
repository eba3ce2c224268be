package directory

import "context"

// Read reads everything cheaply and brings it into force. It may tell things that
// are seconds old; following tells what it lacks.
func (f *Follower) Read(ctx context.Context) error { return f.readAll(ctx, false) }

// ReadRegistrations reads the registrations of balancers alone, cheaply, and brings
// them into force.
func (f *Follower) ReadRegistrations(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.opts.CheckWait)
	defer cancel()
	f.calls.Add(1)
	changes, err := f.source.ReadRegistrations(ctx)
	if err != nil {
		return err
	}
	f.noteAnswer()
	f.Apply(changes)
	return nil
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
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	f.calls.Add(1)
	changes, err := f.source.ReadAll(ctx, exact)
	if err != nil {
		return err
	}
	f.noteAnswer()
	f.Apply(changes)
	return nil
}
