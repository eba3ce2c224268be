package relay

import (
	"cmp"
	"time"

	"github.com/lotuswing/lotuswing/bootstrap"
)

// Options of a Group. Zero fields take their defaults.
type Options struct {
	// TTL of a registration that is not renewed; default 3 s. It bounds how long a zone depends on
	// the relays of other zones after its own relay was killed.
	TTL time.Duration
	// A relay answers after Wait even if nothing has changed, and a call fails if its answer is
	// late by more than Slack; defaults 400 ms and 250 ms.
	Wait  time.Duration
	Slack time.Duration
	// AskStoreAfter is how long ago the store's content may have been confirmed before a balancer whose relays have
	// lost the store asks the store itself, out of turn; default 1.5 s.
	AskStoreAfter time.Duration
	// Penalty is how long a relay that failed is not asked; default 3 s.
	Penalty time.Duration
	// A balancer waits before it registers as the relay of a zone that has none: BackoffBase plus a
	// random part of up to BackoffJitter, longer on VMs with a small processor share. The random
	// part is ten times as long while relays of other zones are registered. The defaults are 300 ms
	// and 1 s.
	BackoffBase   time.Duration
	BackoffJitter time.Duration
	// StartWithin is how long a balancer that starts waits for a relay before it watches the store
	// itself. Meanwhile it reads the registrations every StartPoll. Defaults 2 s and 400 ms.
	StartWithin time.Duration
	StartPoll   time.Duration
	// Bootstrap configures the search for a first copy.
	Bootstrap bootstrap.Options
}

// OptionsWithin returns options with which a balancer switches to another relay, or to the store,
// well within bound, the longest permitted delay until a change is in force.
func OptionsWithin(bound time.Duration) Options {
	return Options{
		Wait:  min(time.Duration(waitShare*float64(bound)), maxDerivedWait),
		Slack: min(time.Duration(slackShare*float64(bound)), maxDerivedSlack),

		AskStoreAfter: time.Duration(askStoreShare * float64(bound)),
	}
}

// Wait and Slack as fractions of the bound given to OptionsWithin, and their upper limits.
const (
	waitShare       = 0.2
	slackShare      = 0.125
	maxDerivedWait  = time.Second
	maxDerivedSlack = 500 * time.Millisecond
	// askStoreShare leaves a quarter of the bound for the calls to the store that bring the change.
	askStoreShare = 0.75
)

func (o Options) withDefaults() Options {
	o.TTL = cmp.Or(o.TTL, 3*time.Second)
	o.Wait = cmp.Or(o.Wait, 400*time.Millisecond)
	o.Slack = cmp.Or(o.Slack, 250*time.Millisecond)
	o.AskStoreAfter = cmp.Or(o.AskStoreAfter, 1500*time.Millisecond)
	o.Penalty = cmp.Or(o.Penalty, 3*time.Second)
	o.BackoffBase = cmp.Or(o.BackoffBase, 300*time.Millisecond)
	o.BackoffJitter = cmp.Or(o.BackoffJitter, time.Second)
	o.StartWithin = cmp.Or(o.StartWithin, 2*time.Second)
	o.StartPoll = cmp.Or(o.StartPoll, 400*time.Millisecond)
	return o
}
