package balancer

import (
	"sync"

	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
)

// clients are the clients of endpoints, made on first use.
type clients struct {
	policy Policy

	mu    sync.Mutex
	byKey map[clientKey]*upstream.Client
}

type clientKey struct {
	service     string
	connections int // most to one endpoint
	protocol    string
	fresh       bool // a new connection for each request
}

// client returns the client for a route. The connections that a service's
// endpoints take are shared out among the balancers.
func (b *Balancer) client(route tenant.Route) *upstream.Client {
	if b.cfg.Policy.Client != nil && route.Kind.Repeatable {
		return b.cfg.Policy.Client
	}
	service, sharers := b.cfg.Chooser.Service(route.Tenant, route.Kind.Service)
	return b.clients.get(clientKey{
		service:     route.ServiceKey(),
		connections: max(1, service.Connections/plannedBalancers(sharers)),
		protocol:    service.Protocol,
		fresh:       b.cfg.Policy.FreshConnections && !route.Kind.Repeatable,
	})
}

func (c *clients) get(key clientKey) *upstream.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.byKey[key]
	if !ok {
		client = upstream.NewClient(upstream.Options{
			Connections: key.connections,
			HTTP2:       key.protocol == "h2c",
			DialTimeout: c.policy.DialTimeout,
			IdleTimeout: c.policy.IdleTimeout,
			Fresh:       key.fresh,
			Dialect:     &c.policy.Dialect,
		})
		c.byKey[key] = client
	}
	return client
}

// closeIdle closes the connections that no request uses.
func (c *clients) closeIdle() {
	if c.policy.Client != nil {
		c.policy.Client.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.byKey {
		client.Close()
	}
}

// fewestPlanned is the fleet's size that is planned for at least: each tenant has
// 13 to 18 balancers today.
const fewestPlanned = 16

// plannedBalancers rounds the number of sharers up to a power of two, so that the
// share stays the same while single balancers come and go.
func plannedBalancers(sharers int) int {
	planned := fewestPlanned
	for planned < sharers {
		planned *= 2
	}
	return planned
}
