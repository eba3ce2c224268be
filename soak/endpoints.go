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
	proxy   *Proxy
	http    *http.Server
	left    time.Time // when the store was told that it leaves; zero while it stays
}

// mayServe reports whether some configuration sends a path to the endpoint's
// service.
func (e *endpoint) mayServe(path string) bool {
	prefix := (&sentRequest{path: path}).prefix()
	switch e.service {
	case serviceAlpha:
		return prefix != filePrefix
	case serviceBeta:
		return prefix != readPrefix
	}
	return false
}

// addEndpoint starts an endpoint and lists it; w.mu is held.
func (w *world) addEndpoint(service string) (*endpoint, error) {
	w.started++
	server := platformtest.NewEndpoint(fmt.Sprintf("i-%s-%d", service, w.started), platformtest.Behavior{Work: endpointWork, Slots: endpointSlots})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: endpoint: %w", err)
	}
	proxy, err := NewProxy(l.Addr().String())
	if err != nil {
		return nil, err
	}
	e := &endpoint{server: server, service: service, proxy: proxy, http: &http.Server{Handler: server}}
	go func() { _ = e.http.Serve(l) }()
	w.current = append(w.current, e)
	w.all = append(w.all, e)
	w.store.PutServer(server.ID, platformtest.Server{Address: proxy.Addr(), Service: service, Zone: "zone-0", Slots: endpointSlots})
	return e, nil
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
