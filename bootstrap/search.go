package bootstrap

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"
)

// errNoCopy means that the balancer that was asked has no copy yet.
var errNoCopy = errors.New("bootstrap: peer has no copy yet")

// search is a search for a first copy. Its fields belong to the goroutine of Fetcher.Run; calls run
// in goroutines of their own and send their results to it.
type search struct {
	*Fetcher
	candidates           Candidates
	random               float64   // in [0, 1); spreads the store reads of balancers that start together
	readRegistrationsAt  time.Time // next read of the registrations
	readingRegistrations bool
	registrationsRead    bool      // the registrations have been read at least once
	readStoreAt          time.Time // next read of the store
	readingStore         bool
	askAt                time.Time       // next request to a peer
	inFlight             int             // requests without an answer
	asked                int             // requests so far
	quickRetries         bool            // a relay has registered that requests are ordered by urgency
	relaysFailed         bool            // all known relays have failed, and readStoreAt takes that into account
	havePart             bool            // a part has been applied, and a complete copy is still missing
	source               string          // see Result.Source
	results              chan callResult // of finished calls, for the goroutine of Fetcher.Run
}

// callResult is the result of a call to the store or to a peer. apply updates the search with it.
type callResult interface {
	apply(s *search, now time.Time)
}

// registrationsResult is the result of Store.ReadRegistrations, storeResult that of Store.Read, and
// copyResult that of Peers.Copy.
type (
	registrationsResult struct{ err error }
	storeResult         struct{ err error }
	copyResult          struct {
		peer  Peer
		reply CopyReply
		err   error
	}
)

// maxInFlightBeforePart bounds the concurrent requests to peers until a part has been applied.
const maxInFlightBeforePart = 4

// startDueCalls starts the calls that are due at now.
func (s *search) startDueCalls(ctx context.Context, now time.Time) {
	if !s.readingRegistrations && !now.Before(s.readRegistrationsAt) {
		s.readingRegistrations = true
		go func() { s.sendResult(ctx, registrationsResult{s.cfg.Store.ReadRegistrations(ctx)}) }()
	}
	s.replaceFailedRelays(now)
	if s.registrationsRead && !s.readingStore && !now.Before(s.readStoreAt) {
		s.readingStore = true
		go func() { s.sendResult(ctx, storeResult{s.cfg.Store.Read(ctx)}) }()
	}
	if s.inFlight < s.maxInFlight() && !now.Before(s.askAt) {
		s.askNext(ctx, now)
	}
}

// askNext requests a copy from the next candidate, if there is one.
func (s *search) askNext(ctx context.Context, now time.Time) {
	peer, candidates, ok := s.candidates.Next(now)
	timing := s.timing()
	s.askAt = now.Add(timing.nextAfter)
	if !ok {
		return
	}
	s.candidates = candidates
	s.inFlight++
	s.asked++
	args := CopyArgs{Addr: s.cfg.Self.Addr, Wait: timing.wait, Part: !s.havePart}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timing.timeout)
		defer cancel()
		reply, err := s.cfg.Peers.Copy(ctx, peer.Addr, timing.connect, args)
		s.sendResult(ctx, copyResult{peer: peer, reply: reply, err: err})
	}()
}

// replaceFailedRelays sets anew when the store is read once all known relays have failed, if they have
// registered that requests are ordered by urgency.
func (s *search) replaceFailedRelays(now time.Time) {
	if !s.quickRetries || s.relaysFailed || s.havePart || !s.candidates.RelaysFailed(s.opts.RelaySilentAfter, now) {
		return
	}
	s.relaysFailed = true
	after := s.opts.ReadAfterRelaysFailed(s.isSeed(), s.random)
	s.readStoreAt = now.Add(after)
	s.cfg.Log.Info("registered relays do not answer", "read_store_after", after.Round(time.Millisecond))
}

// isSeed reports whether this balancer is one of the seeds.
func (s *search) isSeed() bool { return slices.Contains(s.cfg.Seeds, s.cfg.Self.Addr) }

// requestTiming holds the delay until the next peer is asked as well, how long the peer may hold the
// request, the timeout of the request, and that of connecting to the peer; 0 for the default.
type requestTiming struct{ nextAfter, wait, timeout, connect time.Duration }

// timing returns the timing of the next request. Once a part has been applied, the delays are
// longer, so that the relay in this zone has time to answer before another peer is asked. With the
// short delays, relays of other zones would be asked while the relay in this zone is still reading
// the store, and each of them would send a copy.
func (s *search) timing() requestTiming {
	if s.havePart {
		return requestTiming{nextAfter: s.opts.ReadAfterPart / 2, wait: s.opts.ReadAfterPart / 2, timeout: s.opts.ReadAfterPart}
	}
	timing := requestTiming{nextAfter: s.opts.AskNextAfter, wait: s.opts.WaitAtPeer, timeout: s.opts.AskTimeout}
	if s.quickRetries {
		timing.connect = s.opts.ConnectTimeout
	}
	return timing
}

// maxInFlight returns the maximum number of concurrent requests to peers, which is lower once a part
// has been applied.
func (s *search) maxInFlight() int {
	if s.havePart {
		return 2
	}
	return maxInFlightBeforePart
}

// sendResult passes a result to the goroutine of Fetcher.Run, unless the search is over.
func (s *search) sendResult(ctx context.Context, r callResult) {
	select {
	case s.results <- r:
	case <-ctx.Done():
	}
}

// awaitResult waits for the result of a call and applies it. It returns earlier if a call is due or
// ctx ends.
func (s *search) awaitResult(ctx context.Context, now time.Time) {
	timer := time.NewTimer(s.untilNextCall(now))
	defer timer.Stop()
	select {
	case r := <-s.results:
		r.apply(s, time.Now())
	case <-timer.C:
	case <-ctx.Done():
	}
}

// untilNextCall returns the time until the next call is due, at least 1 ms. A request to a peer counts
// as due at askAt even if maxInFlight does not allow one.
func (s *search) untilNextCall(now time.Time) time.Duration {
	next := s.askAt
	if !s.readingRegistrations && s.readRegistrationsAt.Before(next) {
		next = s.readRegistrationsAt
	}
	if s.registrationsRead && !s.readingStore && s.readStoreAt.Before(next) {
		next = s.readStoreAt
	}
	return max(next.Sub(now), time.Millisecond)
}

// randomRetryPause returns a random pause after a failed call to the store, with a mean of
// Options.RetryPause.
func (s *search) randomRetryPause() time.Duration {
	return s.opts.RetryPause/2 + rand.N(s.opts.RetryPause)
}

func (r registrationsResult) apply(s *search, now time.Time) {
	s.readingRegistrations = false
	if r.err != nil {
		s.readRegistrationsAt = now.Add(s.randomRetryPause())
		s.askAt = now
		s.cfg.Log.Warn("could not read relay registrations at start", "error", r.err)
		return
	}
	s.readRegistrationsAt = now.Add(s.registrationsInterval())
	relays := s.cfg.State.Relays()
	first := !s.registrationsRead
	s.registrationsRead = true
	s.candidates = s.candidates.WithRelays(relays)
	if slices.ContainsFunc(relays, func(p Peer) bool { return p.ByUrgency }) {
		s.quickRetries = true
		s.candidates = s.candidates.WithQuickRetries(s.opts.AskAgainAfterFailure)
	}
	if first {
		s.readStoreAt = now.Add(s.opts.ReadAfter(isRelay(relays, s.cfg.Self), s.isSeed(), len(relays) > 0, s.random, s.cfg.Cores))
		s.askAt = now
	}
}

// registrationsInterval returns the interval between reads of the registrations. It is longer once a
// part has been applied, because the part contains the registrations.
func (s *search) registrationsInterval() time.Duration {
	if s.havePart {
		return s.opts.ReadAfterPart
	}
	return s.opts.LookEvery
}

// isRelay reports whether self is one of the registered relays.
func isRelay(relays []Peer, self Peer) bool {
	return slices.ContainsFunc(relays, func(r Peer) bool { return r.Addr == self.Addr })
}

func (r storeResult) apply(s *search, now time.Time) {
	s.readingStore = false
	if r.err != nil {
		s.readStoreAt = now.Add(s.randomRetryPause())
		s.cfg.Log.Warn("could not read the store", "error", r.err)
		return
	}
	s.source = FromStore
}

// outcome returns what became of the request.
func (r copyResult) outcome() AskOutcome {
	switch {
	case r.err != nil:
		return Failed
	case len(r.reply.Packed) == 0 && len(r.reply.Instead) == 0:
		return WithoutYet
	}
	return Answered
}

func (r copyResult) apply(s *search, now time.Time) {
	s.inFlight--
	err := r.err
	s.candidates = s.candidates.WithOutcome(r.peer.Addr, r.outcome())
	switch {
	case err == nil && len(r.reply.Instead) > 0:
		if !r.reply.Part || !s.havePart { // once a part has been applied, only peers with a complete copy are of use
			s.candidates = s.candidates.WithRedirect(r.reply.Instead)
		}
	case err == nil && r.reply.Part:
		if err = s.applyPart(r.reply, now); err == nil {
			s.askAt = now
			return
		}
	case err == nil:
		err = s.applyCopy(r.reply, now)
	}
	s.askAt = now // the next candidate may be asked at once
	if err != nil {
		s.cfg.Log.Debug("no copy from peer", "peer", r.peer.Addr, "error", err)
		return
	}
	s.source = r.peer.Addr
}

// applyPart applies a part, and begins to look for a complete copy. The candidates start afresh, so
// that peers that were asked for the part may be asked again at once.
func (s *search) applyPart(reply CopyReply, now time.Time) error {
	if len(reply.Packed) == 0 {
		return errNoCopy
	}
	if s.havePart {
		return nil // another part arrived first
	}
	c := Copy{Packed: reply.Packed}
	s.cfg.Server.KeepPart(c, now)
	runtime.Gosched() // as in applyCopy
	records, err := c.Unpack()
	if err != nil {
		return err
	}
	s.cfg.State.ApplyPart(records)
	s.cfg.Log.Info("part of the first copy applied", "records", len(records))
	s.havePart = true
	s.readRegistrationsAt = latest(s.readRegistrationsAt, now.Add(s.registrationsInterval()))
	s.readStoreAt = latest(s.readStoreAt, now.Add(s.opts.ReadAfterPart+time.Duration(s.random*float64(s.opts.ReadSpread))))
	s.candidates = NewCandidates(s.cfg.Self, s.cfg.Seeds, rand.Uint64(), s.opts.AskAgainAfter).WithRelays(s.cfg.State.Relays())
	return nil
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// applyCopy applies a complete copy. Other balancers may receive it before it is decoded here.
func (s *search) applyCopy(reply CopyReply, now time.Time) error {
	if len(reply.Packed) == 0 {
		return errNoCopy
	}
	c := Copy{At: reply.At, Packed: reply.Packed}
	s.cfg.Server.Keep(c, now)
	runtime.Gosched() // lets waiting requests get the packed copy before it is decoded here
	records, err := c.Unpack()
	if err != nil {
		return err
	}
	s.cfg.State.Apply(records, c.At)
	return nil
}
