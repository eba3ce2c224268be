package soak

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// endpoint is one incarnation of a back end behind a proxy.
type endpoint struct {
	server  *platformtest.Endpoint
	service string
	zone    string
	slots   int // requests at once
	proxy   *Proxy
	http    *http.Server
	left    time.Time // when the store was told that it leaves; zero while it stays

	coldUntil time.Time
}

// mayServe reports whether some configuration sends a path to the endpoint's
// service.
func (e *endpoint) mayServe(path string) bool {
	prefix := (&sentRequest{path: path}).prefix()
	switch e.service {
	case serviceAlpha:
		return prefix != filePrefix && prefix != slowPrefix
	case serviceBeta:
		return prefix != readPrefix && prefix != slowPrefix
	case serviceSlow:
		return prefix == slowPrefix
	}
	return false
}

// addEndpoint starts an endpoint and lists it; w.mu is held.
func (w *world) addEndpoint(service string) (*endpoint, error) {
	e, addr, err := w.startEndpoint(service)
	if err != nil {
		return nil, err
	}
	if e.proxy, err = NewProxy(addr); err != nil {
		return nil, err
	}
	e.zone = w.nextZone()
	w.add(e)
	w.list(e, 0)
	return e, nil
}

// startEndpoint starts an endpoint, behind no proxy yet, and returns its address; w.mu is held.
func (w *world) startEndpoint(service string) (*endpoint, string, error) {
	w.started++
	behavior := platformtest.Behavior{ServiceTime: endpointWork, Slots: endpointSlots}
	switch {
	case service == serviceSlow:
		behavior = slowBehavior(w.started)
	case service == serviceBeta && w.colds:
		behavior = platformtest.Behavior{ServiceTime: longWork, Slots: manySlots}
	}
	server := platformtest.NewEndpoint(fmt.Sprintf("i-%s-%d", service, w.started), behavior)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("soak: endpoint: %w", err)
	}
	e := &endpoint{server: server, service: service, http: &http.Server{Handler: server}, slots: behavior.Slots}
	go func() { _ = e.http.Serve(l) }()
	return e, l.Addr().String(), nil
}

// add adds an endpoint that has started to those that are drawn; w.mu is held.
func (w *world) add(e *endpoint) {
	w.current = append(w.current, e)
	w.all = append(w.all, e)
}

// nextZone returns the zone of the endpoint that was started last; w.mu is held.
func (w *world) nextZone() string {
	if !w.everyZone {
		return zoneName(0)
	}
	const services = 2
	return zoneName((w.started - 1) / services % zones)
}

// list writes an endpoint's entry, with how much longer it warms up; w.mu is held.
func (w *world) list(e *endpoint, warmup time.Duration) {
	w.store.PutServer(e.server.ID, platformtest.Server{
		Address: e.proxy.Addr(), Service: e.service, Zone: e.zone, Slots: e.slots, Warmup: warmup,
	})
}

// withdraw takes an endpoint out of those that are drawn; w.mu is held.
func (w *world) withdraw(e *endpoint) {
	for i, c := range w.current {
		if c == e {
			w.current = append(w.current[:i:i], w.current[i+1:]...)
			return
		}
	}
}
