package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// Services of the soak.
const (
	serviceAlpha = "alpha"
	serviceBeta  = "beta"
	serviceSlow  = "slow" // only with stops in series
)

// fault is one kind of trouble: it begins it and returns what ends it.
type fault struct {
	name  string
	begin func(*world) (detail string, end func())
}

// faults that a soak draws from. Several may overlap.
var faults = []fault{
	{"kill", func(w *world) (string, func()) { return w.restart(syscall.SIGKILL) }},
	{"stop", func(w *world) (string, func()) { return w.restart(syscall.SIGTERM) }},
	{"pause", (*world).pause},
	{"hang-up", (*world).hangUp},
	{"store answers 503", func(w *world) (string, func()) { return w.storeFault(platformtest.Faults{Refuse: true}) }},
	{"store is silent", func(w *world) (string, func()) { return w.storeFault(platformtest.Faults{Silent: true}) }},
	{"watches hear nothing", func(w *world) (string, func()) { return w.storeFault(platformtest.Faults{Mute: true}) }},
	{"store forgets", (*world).forget},
	{"leases end", (*world).revoke},
	{"store link", (*world).storeLink},
	{"endpoint link", (*world).endpointLink},
	{"endpoint slow", func(w *world) (string, func()) {
		return w.misbehave(func(b *platformtest.Behavior, on bool) { b.Pace = map[bool]int{true: 500, false: 100}[on] })
	}},
	{"endpoint declines", func(w *world) (string, func()) {
		return w.misbehave(func(b *platformtest.Behavior, on bool) { b.Refuse = on })
	}},
	{"answers lost", func(w *world) (string, func()) {
		return w.misbehave(func(b *platformtest.Behavior, on bool) { b.ResetConnection = on })
	}},
	{"answers cut", func(w *world) (string, func()) {
		return w.misbehave(func(b *platformtest.Behavior, on bool) { b.TruncateResponse = on })
	}},
	{"answers of others", func(w *world) (string, func()) {
		return w.misbehave(func(b *platformtest.Behavior, on bool) { b.WrongRequestID = on })
	}},
	{"endpoint leaves", (*world).replace},
	{"configuration", (*world).reconfigure},
	{"configurations in series", (*world).storm},
}

func (w *world) drawBalancer() *balancer { return w.balancers[w.rng.IntN(len(w.balancers))] }

// drawEndpoint returns one that has not been told to leave.
func (w *world) drawEndpoint() *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current[w.rng.IntN(len(w.current))]
}

func (w *world) restart(s syscall.Signal) (string, func()) {
	b := w.drawBalancer()
	if !b.claim() {
		return b.id + " is restarted already", func() {}
	}
	from := time.Now()
	gone, disturb := b.gone, w.calendar.disturb
	if s == syscall.SIGTERM {
		gone, disturb = w.beginStop(b), w.calendar.bear
	} else {
		b.signal(syscall.SIGCONT)
		b.signal(s)
	}
	return b.id, func() {
		defer b.release()
		gone()
		if err := b.run(); err != nil {
			w.fail(err)
		}
		if err := b.waitReady(w.ctx); err != nil {
			w.fail(err)
		}
		disturb(b.id, from, time.Now())
	}
}

func (w *world) pause() (string, func()) {
	b := w.drawBalancer()
	from := time.Now()
	b.signal(syscall.SIGSTOP)
	return b.id, func() {
		b.signal(syscall.SIGCONT)
		w.calendar.disturb(b.id, from, time.Now())
	}
}

// hangUp changes a balancer's settings and says so.
func (w *world) hangUp() (string, func()) {
	b := w.drawBalancer()
	if err := b.writeSettings(); err != nil {
		w.log.Error("settings not written", "id", b.id, "error", err)
	}
	b.signal(syscall.SIGHUP)
	return b.id, func() {}
}

func (w *world) storeFault(f platformtest.Faults) (string, func()) {
	from := time.Now()
	w.store.SetFaults(f)
	return "", func() {
		w.store.SetFaults(platformtest.Faults{})
		w.calendar.bear("", from, time.Now())
	}
}

// forget lets the store compact its history. Changes are withheld from watches before, and cheap reads
// lag afterwards.
func (w *world) forget() (string, func()) {
	from := time.Now()
	w.store.BeginCompaction()
	lag := time.Duration(w.rng.IntN(int(maxReadLag)))
	return fmt.Sprintf("reads lag by %v", lag), func() {
		w.store.EndCompaction(lag)
		w.calendar.bear("", from, time.Now())
	}
}

// maxReadLag bounds how long cheap reads of the store lag after it has compacted its history.
const maxReadLag = 6 * time.Second

// revoke ends the leases of all relays; nobody may notice.
func (w *world) revoke() (string, func()) {
	w.store.RevokeLeases()
	return "", func() {}
}

func (w *world) drawMode() Mode { return Mode(1 + w.rng.IntN(int(modes)-1)) }

func (w *world) storeLink() (string, func()) {
	b, mode, from := w.drawBalancer(), w.drawMode(), time.Now()
	b.store.Set(mode)
	return fmt.Sprintf("%s %v", b.id, mode), func() {
		b.store.Set(Pass)
		w.calendar.bear(b.id, from, time.Now())
	}
}

func (w *world) endpointLink() (string, func()) {
	e, mode, from := w.drawEndpoint(), w.drawMode(), time.Now()
	e.proxy.Set(mode)
	return fmt.Sprintf("%s %v", e.server.ID, mode), func() {
		e.proxy.Set(Pass)
		w.calendar.bear("", from, time.Now()) // bytes held up arrive late
		w.calendar.spoil(e.server.ID, from, time.Now())
	}
}

func (w *world) misbehave(change func(b *platformtest.Behavior, on bool)) (string, func()) {
	e, from := w.drawEndpoint(), time.Now()
	e.server.Set(func(b *platformtest.Behavior) { change(b, true) })
	return e.server.ID, func() {
		e.server.Set(func(b *platformtest.Behavior) { change(b, false) })
		w.calendar.spoil(e.server.ID, from, time.Now())
	}
}

// replace makes an endpoint leave; another incarnation takes its place, at
// times at its address and for the other service.
func (w *world) replace() (string, func()) {
	old := w.drawEndpoint()
	says := w.rng.IntN(3) > 0 // otherwise its entry goes without a word
	w.mu.Lock()
	defer w.mu.Unlock()
	next, err := w.addEndpoint(old.service)
	if err != nil {
		w.log.Error("endpoint not started", "error", err)
		return "", func() {}
	}
	w.withdraw(old)
	old.left = time.Now()
	if says {
		w.store.PutServer(old.server.ID, platformtest.Server{
			Address: old.proxy.Addr(), Service: old.service, Zone: old.zone, Slots: old.slots, Draining: true,
		})
	} else {
		w.store.RemoveServer(old.server.ID)
	}
	return old.server.ID + " for " + next.server.ID, func() { w.store.RemoveServer(old.server.ID) }
}

func (w *world) reconfigure() (string, func()) {
	w.publish(w.rng)
	return "", func() {}
}

func (w *world) storm() (string, func()) {
	for range 5 {
		w.publish(w.rng)
		time.Sleep(30 * time.Millisecond)
	}
	return "", func() {}
}

const (
	endpointSlots = 3
	endpointWork  = 20 * time.Millisecond
)

// disturbUntil begins faults, each with an end of its own, until ctx ends, and
// ends them all.
func (w *world) disturbUntil(ctx context.Context, rng *rand.Rand, report func(string)) {
	for ctx.Err() == nil {
		f := faults[rng.IntN(len(faults))]
		detail, end := f.begin(w)
		report(f.name)
		w.log.Info("fault", "kind", f.name, "what", detail)
		length := time.Duration(rng.Int64N(int64(mostFault)))
		w.ends.Go(func() {
			pause.For(ctx, length)
			end()
			w.log.Info("fault ends", "kind", f.name, "what", detail)
		})
		pause.For(ctx, time.Duration(rng.Int64N(int64(2*w.gap))))
	}
	w.ends.Wait()
}

// mostFault is how long a fault lasts at most.
const mostFault = 2500 * time.Millisecond

// removeAll removes the soak's files.
func removeAll(dir string) { _ = os.RemoveAll(dir) }
