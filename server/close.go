package server

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/drain"
)

const (
	// traceFlushWait bounds the sending of the last spans, and with it the end of the process.
	traceFlushWait = time.Second
	// closeShare is the part of the time until the process is killed that its end may take; the rest is
	// for its last log lines.
	closeShare = 0.5
)

// closeWait returns how long what callers do not see may take to end, in a process that is killed at a
// time, if it ever is.
func closeWait(killedAt time.Time, t drain.Times, now time.Time) time.Duration {
	if t.Grace == 0 {
		return traceFlushWait
	}
	return max(0, min(traceFlushWait, time.Duration(closeShare*float64(killedAt.Sub(now)))))
}

// Kill ends the process's part at once, as a crash does.
func (s *Server) Kill() {
	_ = s.front.Close() // as a crash, without a word
	<-s.beginClose(traceFlushWait, func(context.Context) { s.chooser.Close() })
}

// close ends what callers do not see, and waits for that as long as limit at most.
func (s *Server) close(limit time.Duration) {
	if !awaitAll(limit, s.beginClose(limit, s.chooser.Shutdown)) {
		s.cfg.Log.Warn("process ends before all its parts", "after", limit)
	}
}

// beginClose begins to end what callers do not see; closeChooser gets a context that ends after flushWait.
// The listeners are closed whatever they say.
func (s *Server) beginClose(flushWait time.Duration, closeChooser func(context.Context)) <-chan struct{} {
	_ = s.admin.Close()
	if s.scrapes != nil {
		_ = s.scrapes.Close()
	}
	flushed, closed := make(chan struct{}), make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), flushWait)
	go func() {
		defer close(flushed)
		if err := s.tracing.Shutdown(ctx); err != nil {
			s.cfg.Log.Warn("last spans not sent", "error", err)
		}
	}()
	go func() {
		defer close(closed)
		defer cancel()
		if s.stopDetours != nil {
			s.stopDetours()
		}
		closeChooser(ctx)
		<-flushed
	}()
	return closed
}
