package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/coord/document"
	"github.com/lotuswing/lotuswing/examples"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/server"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/standin"
	"github.com/lotuswing/lotuswing/storeclient"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/vm"
)

func (r *run) start(ctx context.Context) error {
	r.store = standin.NewStore(standin.StoreOptions{})
	addr, err := r.serve(r.store)
	if err != nil {
		return err
	}
	r.storeURL = "http://" + addr
	for _, doc := range examples.Tenants {
		if err := r.apply(ctx, doc); err != nil {
			return err
		}
	}
	var vms []vm.VM
	for _, p := range pools {
		for i := range p.endpoints {
			e := standin.NewEndpoint(standin.EndpointOptions{ServiceTime: serviceTime, Spread: spread, ProbeTime: probeTime})
			addr, err := r.serve(e)
			if err != nil {
				return err
			}
			id := fmt.Sprintf("%s-%d", p.service, i)
			r.endpoints[id] = e
			vms = append(vms, vm.VM{
				ID: id, Role: vm.Endpoint, Tenant: p.tenant, Service: p.service,
				Addr: addr, Zone: p.zones[i%len(p.zones)], State: vm.Live,
			})
		}
	}
	for i, zone := range []string{"medina", "tribunal", "ktm-1"} {
		b, err := r.startBalancer(fmt.Sprintf("vm-%d", i+1), zone)
		if err != nil {
			return err
		}
		vms = append(vms, vm.VM{ID: fmt.Sprintf("vm-%d", i+1), Role: vm.Balancer, Addr: b, Zone: zone, State: vm.Live})
	}
	r.store.SetVMs(vms)
	return r.waitReady(ctx)
}

// serve serves a handler on a port of its own.
func (r *run) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readyWithin}
	go func() { _ = srv.Serve(l) }()
	r.closers = append(r.closers, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

func (r *run) startBalancer(id, zone string) (link string, err error) {
	text := fmt.Sprintf(`{"id": %q, "zone": %q, "tenants": ["bennani", "himsagar"],
		"listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "link": "127.0.0.1:0",
		"store": {"url": %q, "vm_list_url": %q}, "link_tls": {"insecure": true}}`,
		id, zone, r.storeURL, r.storeURL+"/v1/vms")
	s, err := settings.Parse("demo "+id, []byte(text))
	if err != nil {
		return "", err
	}
	srv, err := server.Start(server.Config{Settings: s, Log: r.opts.Log.Named(id)})
	if err != nil {
		return "", err
	}
	r.balancers = append(r.balancers, srv)
	r.closers = append(r.closers, srv.Kill)
	return srv.LinkAddr(), nil
}

func (r *run) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for {
		ready := 0
		for _, b := range r.balancers {
			if ok, _ := b.Node().Ready(); ok && len(b.Node().Status().Members) == len(r.balancers) {
				ready++
			}
		}
		if ready == len(r.balancers) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("demo: the balancers did not become ready")
		case <-time.After(sampleEvery / 4):
		}
	}
}

// apply writes a tenant's document as an operator does.
func (r *run) apply(ctx context.Context, doc []byte) error {
	cfg, err := tenant.Parse("example", doc)
	if err != nil {
		return err
	}
	body, err := tenant.Standard(doc)
	if err != nil {
		return err
	}
	r.mu.Lock()
	base := r.applied[cfg.Tenant]
	r.mu.Unlock()
	p := document.Proposal{ID: fmt.Sprintf("demo-%d", base+1), Editor: "demo", Base: base, Body: json.RawMessage(body)}
	client := storeclient.New(r.storeURL, storeclient.Options{})
	out, err := document.Apply(ctx, client, pause.Clock{}, "config/"+cfg.Tenant, p, document.ApplyOptions{})
	if out.Result != document.Won {
		return fmt.Errorf("demo: apply %s: %s: %w", cfg.Tenant, out.Result, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied[cfg.Tenant] = out.Version
	return nil
}

func (r *run) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}
