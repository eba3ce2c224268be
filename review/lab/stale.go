//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case stale-configuration: the store turns three of nine balancers away, one first and two a little later,
// and serves the others. A configuration comes meanwhile. Rule CONFIG: balancers that nothing
// happened to handle a request that was sent later than configApplyMs after the acknowledgement as only an
// older version allows.

const (
	staleFirst    = 3 * time.Second        // before the first round
	staleConfig   = 100 * time.Millisecond // after the last balancers were turned away
	staleAway     = 9 * time.Second        // for which a balancer is turned away
	staleRound    = 15500 * time.Millisecond
	staleAskEvery = 200 * time.Millisecond
	staleServers  = 4 // of each service
	staleSlots    = 6
	staleWork     = 5 * time.Millisecond
	staleSize     = 400
	staleDeadline = 4 * time.Second
	staleTimeout  = 2 * time.Second
	staleTarget   = 600 * time.Millisecond
	staleSettle   = 5 * time.Second // for relays to be registered
	contact       = 3 * time.Second // contactMs
	perZone       = 3
	relaysKey     = "lotuswing/relays/"
	staleHost     = "maps.example"
	stalePrefix   = "/runs/"
)

// staleLater is, for each round, how much later the other two balancers are turned away.
var staleLater = []time.Duration{4200 * time.Millisecond, 4500 * time.Millisecond, 4800 * time.Millisecond, 4300 * time.Millisecond, 4600 * time.Millisecond, 4400 * time.Millisecond}

// cmpca is the site of the file cmpca-gateway.toml, with fewer machines.
var cmpca = site{region: "sea-to-sky", applyWithin: 2 * time.Second, budgetSlack: 62, linkMbps: 1000}

// halls are its zones.
var halls = []string{"squamish-hall", "whistler-hall", "pemberton-hall"}

// staleServices are the services that the route goes to by turns.
var staleServices = []string{"runview", "tilevault"}

// door is the way of one balancer to the store. While it is shut, nothing is answered.
type door struct {
	store *store

	mu     sync.Mutex
	opens  chan struct{} // closed while the door is open
	shut   chan struct{} // closed while the door is shut
	closed bool
	last   time.Time // when the door was shut or opened last
}

func newDoor(s *store) *door {
	d := &door{store: s, opens: make(chan struct{}), shut: make(chan struct{})}
	close(d.opens)
	return d
}

// set shuts or opens the door.
func (d *door) set(closed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed == closed {
		return
	}
	d.closed, d.last = closed, time.Now()
	if closed {
		d.opens = make(chan struct{})
		close(d.shut)
		return
	}
	d.shut = make(chan struct{})
	close(d.opens)
}

// state returns the channels.
func (d *door) state() (closed bool, opens, shut chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed, d.opens, d.shut
}

// disturbed reports whether the balancer was turned away at a time or within contactMs before it.
func (d *door) disturbed(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed || !d.last.IsZero() && at.Sub(d.last) < contact
}

// ServeHTTP passes a call. What the store answers while the door is shut is lost, and the connection says
// nothing further.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	closed, _, shut := d.state()
	if closed {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	held := &heldAnswer{header: http.Header{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.store.ServeHTTP(held, r)
	}()
	select {
	case <-done:
	case <-shut:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if closed, _, _ := d.state(); closed {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for name, values := range held.header {
		w.Header()[name] = values
	}
	w.WriteHeader(held.status)
	_, _ = w.Write(held.body)
}

// heldAnswer is an answer of the store before it is passed on.
type heldAnswer struct {
	header http.Header
	status int
	body   []byte
}

func (h *heldAnswer) Header() http.Header { return h.header }

func (h *heldAnswer) WriteHeader(status int) { h.status = status }

func (h *heldAnswer) Write(p []byte) (int, error) {
	h.body = append(h.body, p...)
	return len(p), nil
}

// staleFleets is how many deployments are tried at once.
const staleFleets = 5

// staleConfiguration is the case.
func staleConfiguration(l *lab) (broken bool, err error) {
	var all sync.WaitGroup
	stale, errs := make([]int, staleFleets), make([]error, staleFleets)
	for n := range staleFleets {
		deployment, err := l.deploy(n)
		if err != nil {
			return false, err
		}
		all.Go(func() { stale[n], errs[n] = staleDeployment(deployment) })
	}
	all.Wait()
	for n := range staleFleets {
		l.record.line("deployment %d: %d requests handled by an older version later than configApplyMs at balancers in touch", n, stale[n])
		broken = broken || stale[n] > 0
	}
	return broken, errors.Join(errs...)
}

// staleDeployment plays the rounds in one deployment, and returns how many requests were handled by an older
// version.
func staleDeployment(l *lab) (stale int, err error) {
	for n, service := range staleServices {
		for i := range staleServers {
			id := fmt.Sprintf("i-%d%03d", n, i)
			b, err := l.startBackend(id, service, halls[i%len(halls)], staleSlots, func(string) answer { return answer{work: staleWork, size: staleSize} })
			if err != nil {
				return 0, err
			}
			b.record = nil // the lines of the clients say which server ran a request
		}
	}
	var zonesOf []string
	for range perZone {
		zonesOf = append(zonesOf, halls...)
	}
	s := &staleState{lab: l, doors: map[string]*door{}}
	l.storeOf = func(id string) (string, error) {
		s.doors[id] = newDoor(l.store)
		addr, err := serve(s.doors[id])
		return "http://" + addr, err
	}
	s.publish()
	if err := l.startBalancers(cmpca, zonesOf...); err != nil {
		return 0, err
	}
	time.Sleep(staleSettle)
	over := make(chan struct{})
	var asking sync.WaitGroup
	for _, b := range l.balancers {
		asking.Go(func() { s.askAll(b, over) })
	}
	time.Sleep(staleFirst)
	for round := range staleLater {
		if err = s.round(staleLater[(round+l.fleet)%len(staleLater)]); err != nil {
			break
		}
	}
	close(over)
	asking.Wait()
	return s.stale, err
}

// staleState is the state of the case.
type staleState struct {
	lab   *lab
	doors map[string]*door // by balancer

	mu      sync.Mutex
	version int
	acked   time.Time // when the store took that version
	asked   int
	stale   int
}

// publish writes the next version, with which the route goes to the other service.
func (s *staleState) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := route{
		name: "live-map", host: staleHost, prefix: stalePrefix, kind: "safe", service: staleServices[s.version%len(staleServices)], timeout: staleTimeout, target: staleTarget,
	}
	s.lab.store.publish(s.version, []route{r}, staleServices...)
	s.acked = time.Now()
	s.lab.record.line("the store has taken version %d: %s goes to %s", s.version, stalePrefix, r.service)
}

// round is one round.
func (s *staleState) round(later time.Duration) error {
	began := time.Now()
	relays, err := s.relays()
	if err != nil {
		return err
	}
	var away []*door
	turnAway := func(id string) {
		if !s.lab.trouble {
			return
		}
		s.lab.record.line("the store turns %s away, silent", id)
		s.doors[id].set(true)
		away = append(away, s.doors[id])
		time.AfterFunc(staleAway, func() {
			s.lab.record.line("the store serves %s again", id)
			s.doors[id].set(false)
		})
	}
	first := rand.IntN(len(relays))
	turnAway(relays[first])
	time.Sleep(later)
	for n := range relays {
		if n != first {
			turnAway(relays[n])
		}
	}
	time.Sleep(staleConfig)
	s.publish()
	time.Sleep(time.Until(began.Add(staleRound)))
	return nil
}

var errNoRelays = errors.New("not every zone has a registration in the store")

// relays returns the balancers that hold a lease of the store, one in each zone.
func (s *staleState) relays() ([]string, error) {
	s.lab.store.mu.Lock()
	defer s.lab.store.mu.Unlock()
	var ids []string
	for _, zone := range halls {
		item, ok := s.lab.store.items[relaysKey+zone]
		var value struct {
			ID string `json:"id"`
		}
		if !ok || json.Unmarshal(item.Value, &value) != nil || s.doors[value.ID] == nil {
			return nil, errNoRelays
		}
		ids = append(ids, value.ID)
	}
	return ids, nil
}

// askAll asks a balancer again and again.
func (s *staleState) askAll(b *balancer, over chan struct{}) {
	ticker := time.NewTicker(staleAskEvery)
	defer ticker.Stop()
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case <-over:
			return
		case <-ticker.C:
			all.Go(func() { s.askOnce(b) })
		}
	}
}

// askOnce sends a request and judges which service has run it.
func (s *staleState) askOnce(b *balancer) {
	s.mu.Lock()
	s.asked++
	r := request{id: fmt.Sprintf("m%06d", s.asked), host: staleHost, path: fmt.Sprintf("%s%d", stalePrefix, s.asked), deadline: staleDeadline}
	version, age := s.version, time.Since(s.acked)
	s.mu.Unlock()
	sentAt := time.Now()
	o := ask(b.front, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !o.complete || o.status != http.StatusOK {
		s.lab.record.line("client sent %s to %s: %s", r.id, b.id, o)
		return
	}
	s.lab.record.line("client sent %s to %s: 200 after %.3f s, run by %s", r.id, b.id, time.Since(sentAt).Seconds(), o.signature)
	allowed := fmt.Sprintf("i-%d", version%len(staleServices))
	if version != s.version || age < cmpca.applyWithin || strings.HasPrefix(o.signature, allowed) {
		return
	}
	if s.doors[b.id].disturbed(sentAt) || s.doors[b.id].disturbed(time.Now()) {
		return
	}
	s.stale++
	s.lab.record.line("STALE: %s, sent to %s %.3f s after version %d was taken, was run by %s, as only version %d allows", r.id, b.id, age.Seconds(), version, o.signature, version-1)
}
