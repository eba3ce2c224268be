package demo

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/lotuswing/lotuswing/internal/dial"
	"github.com/lotuswing/lotuswing/internal/partition"
	"github.com/lotuswing/lotuswing/platform"
	"github.com/lotuswing/lotuswing/server"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/tenant"
)

// platformService is how each service there is configured.
var platformService = tenant.Service{Connections: 200, ProbePath: "/health"}

// platformRoute is the route to the service of the same name.
func platformRoute(name, prefix string) tenant.PrefixRoute {
	return tenant.PrefixRoute{
		Name: name, Host: crashHost, Prefix: prefix, Repeatable: true, Timeout: readyWithin, Target: time.Second, MaxAttempts: 2,
		Split: []tenant.Share{{Service: name, Weight: 1}},
	}
}

// endpointDialTimeout limits the time to open a connection to an endpoint.
const endpointDialTimeout = 300 * time.Millisecond

// startPlatformBalancer starts a balancer that follows the platform's store and returns its
// link address.
func (r *run) startPlatformBalancer(f *crashFleet, id, store string, peers []string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // the link's address must be known to others
	if err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	link, admin := l.Addr().String(), ""
	a, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	admin = a.Addr().String()
	if err := l.Close(); err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	if err := a.Close(); err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	list, err := json.Marshal(append([]string{}, peers...))
	if err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	s, err := settings.Parse("demo "+id, fmt.Appendf(nil, `{"id": %q, "zone": "medina", "listen": "127.0.0.1:0", "admin": %q, "link": %q, "peers": %s,
		"discovery": {"kind": "platform", "url": %q}, "link_tls": {"insecure": true}}`, id, admin, link, list, store))
	if err != nil {
		return "", err
	}
	source := platform.NewStore(s.Discovery.URL)
	network := &partition.Network{}
	f.networks = append(f.networks, network)
	srv, err := server.Start(server.Config{
		Settings: s, Log: r.opts.Log.Named(id), Source: source, Relays: source,
		Policy: platform.Policy(s.Retries).WithDial(network.Wrap(dial.Dialer(endpointDialTimeout).DialContext)),
	})
	if err != nil {
		return "", err
	}
	r.closers = append(r.closers, srv.Kill)
	f.targets = append(f.targets, "http://"+srv.Addr())
	f.admins = append(f.admins, admin)
	return link, nil
}
