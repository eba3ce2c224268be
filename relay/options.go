package relay

import (
	"cmp"
	"time"

	"github.com/lotuswing/lotuswing/bootstrap"
)

// Options of a Group. Zero fields take the defaults.
type Options struct {
	// TTL of a registration that is not renewed; default 3 s. It bounds how long
	// a zone follows the relays of others after its own one was killed.
	TTL time.Duration
	// Wait is after which a relay answers though nothing changed, and Slack after
	// which an answer counts as missing; defaults 400 ms and 250 ms.
	Wait  time.Duration
	Slack time.Duration
	// Penalty is for which a relay that failed is left alone; default 3 s.
	Penalty time.Duration
	// A vacancy is left to others for BackoffBase and a random part of
	// BackoffJitter, and for longer by VMs with a small processor share; defaults
	// 300 ms and 1 s.
	BackoffBase   time.Duration
	BackoffJitter time.Duration
	// StartWithin is how long a balancer that starts waits for a relay before it
	// follows the store, reading the registrations each StartPoll; defaults 2 s and
	// 400 ms.
	StartWithin time.Duration
	StartPoll   time.Duration
	// Bootstrap are the options of the search for a first copy.
	Bootstrap bootstrap.Options
}

// OptionsWithin returns options that let a balancer change over to another relay,
// or to the store, well within a bound on how late a change may come into force.
func OptionsWithin(bound time.Duration) Options {
	return Options{
		Wait:  min(time.Duration(waitShare*float64(bound)), mostWait),
		Slack: min(time.Duration(slackShare*float64(bound)), mostSlack),
	}
}

// Parts of the bound and their limits.
const (
	waitShare  = 0.2
	slackShare = 0.125
	mostWait   = time.Second
	mostSlack  = 500 * time.Millisecond
)

func (o Options) withDefaults() Options {
	o.TTL = cmp.Or(o.TTL, 3*time.Second)
	o.Wait = cmp.Or(o.Wait, 400*time.Millisecond)
	o.Slack = cmp.Or(o.Slack, 250*time.Millisecond)
	o.Penalty = cmp.Or(o.Penalty, 3*time.Second)
	o.BackoffBase = cmp.Or(o.BackoffBase, 300*time.Millisecond)
	o.BackoffJitter = cmp.Or(o.BackoffJitter, time.Second)
	o.StartWithin = cmp.Or(o.StartWithin, 2*time.Second)
	o.StartPoll = cmp.Or(o.StartPoll, 400*time.Millisecond)
	return o
}
