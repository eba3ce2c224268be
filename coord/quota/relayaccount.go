package quota

import "time"

// Methods of an Account that a relay keeps, or that takes over the level of an earlier relay.

// AsRelay returns the account of a relay, which receives the counts of others as they happen.
// silentRate is the rate per second of the silent balancers. Their fraction of the burst is deducted
// from the bucket, and given back once they report again. An account without any earlier snapshot
// starts with initialFill of the burst at the time since.
func (a Account) AsRelay(l Limit, silentRate float64, since, now time.Time) Account {
	switch {
	case a.synced && !a.relay:
		a.tokens = max(-maxDebtSeconds*l.Rate, a.levelOfSnapshot(l, now)-a.takenSince)
		a.updatedAt, a.newRelayUntil, a.takenAsNewRelay = now, now.Add(newRelayFor), 0
	case !a.synced:
		a = Account{tokens: initialFill * l.Burst, updatedAt: since, coverage: 1, synced: true, syncedAt: now, newRelayUntil: now.Add(newRelayFor)}
	}
	a.awaitingSince, a.relay = time.Time{}, true
	a.othersRate, a.syncedAt = silentRate, now
	coverage := 1 - min(1, silentRate/l.Rate)
	a.tokens += (coverage - a.coverage) * (usableBurst*l.Burst + l.Spare) // silent balancers hold their fraction of the burst
	a.coverage = coverage
	return a.advance(l, now)
}

// withUnconfirmedLevel returns the account of a new relay that never had a snapshot. It gives out little
// of its level until balancers have reported that may have heard of the bucket from an earlier relay.
func (a Account) withUnconfirmedLevel(l Limit) Account {
	sure := min(a.tokens, l.initialTokens())
	a.tokens, a.unconfirmed = sure, a.tokens-sure
	return a
}

// asOutdated returns the account of a relay after a time in which other relays may have known the bucket
// better.
func (a Account) asOutdated(now time.Time) Account {
	a.newRelayUntil, a.takenAsNewRelay = now.Add(newRelayFor), 0
	return a
}

// missing returns how many tokens are missing from the full bucket, as of the last snapshot and the
// tokens added since; 0 without a snapshot.
func (a Account) missing(l Limit, now time.Time) float64 {
	if !a.synced || a.relay {
		return 0
	}
	return max(0, l.capacity(1)-a.levelOfSnapshot(l, now))
}

// levelOfSnapshot returns the level of the bucket in the last snapshot, with the tokens added since.
// What others have taken since reaches a new relay with their reports.
func (a Account) levelOfSnapshot(l Limit, now time.Time) float64 {
	return min(l.capacity(1), a.snapshotTokens+l.Rate*now.Sub(a.syncedAt).Seconds())
}

// WithMissing returns a relay's account after the report of a balancer that was told by an earlier
// relay how many tokens are missing. A new relay adopts that level if it is lower than the one that it
// began with. What it has counted since was not known to the earlier relay, and is deducted from either.
func (a Account) WithMissing(l Limit, missing float64, now time.Time) Account {
	if missing == 0 || !now.Before(a.newRelayUntil) {
		return a
	}
	a = a.advance(l, now)
	level := a.tokens + a.unconfirmed
	a.tokens, a.unconfirmed = min(level, l.capacity(1)-missing-a.takenAsNewRelay), 0
	return a
}

// WithOwnShare returns the account of a relay whose own requests may take a share of the tokens that
// are left, and of those added from now on.
func (a Account) WithOwnShare(l Limit, share float64, now time.Time) Account {
	a = a.advance(l, now)
	a.snapshotTokens, a.takenSince, a.ownShare, a.ownShareSince = a.tokens, 0, share, now
	return a
}

// WithoutOwnShare returns the account of a relay whose own requests may take all tokens.
func (a Account) WithoutOwnShare() Account {
	a.ownShare = 0
	return a
}

// AsFollower returns the account of a balancer that is no longer a relay.
func (a Account) AsFollower() Account {
	a.relay, a.ownShare = false, 0
	a.snapshotTokens, a.takenSince = a.tokens, 0
	return a
}

// WithPeerSnapshot returns a relay's account after a snapshot from the relay of another zone. A new
// relay does not know what was taken before, so it adopts the snapshot's level if that is lower.
func (a Account) WithPeerSnapshot(s Snapshot, now time.Time) Account {
	if now.Before(a.newRelayUntil) {
		a.tokens = min(a.tokens, s.Tokens)
	}
	return a
}

// withRecent returns a relay's account after other balancers have sent n requests.
func (a Account) withRecent(n int, now time.Time) Account {
	a.recent = a.recent.With(n, now)
	return a
}
