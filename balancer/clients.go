package balancer

import (
	"sync"

	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
)

// clients holds the HTTP clients for endpoints, created on first use.
type clients struct {
	policy Policy

	mu    sync.Mutex
	byKey map[clientKey]*upstream.Client
}

// clientKey identifies a client: requests with equal keys share one.
type clientKey struct {
	service     string
	connections int // maximum to one endpoint
	protocol    string
	fresh       bool // a new connection for each request
}

// clientFor returns the client for a route. The connections that the endpoints of a service accept
// are divided among the balancers.
func (b *Balancer) clientFor(route tenant.Route) *upstream.Client {
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

// get returns the client for a key, creating it on first use.
func (c *clients) get(key clientKey) *upstream.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.byKey[key]
	if !ok {
		client = upstream.NewClient(upstream.Options{
			MaxConnections: key.connections,
			HTTP2:          key.protocol == "h2c",
			DialTimeout:    c.policy.DialTimeout,
			IdleTimeout:    c.policy.IdleTimeout,
			NewConnections: key.fresh,
			Dialect:        &c.policy.Dialect,
			Dial:           c.policy.Dial,
			Paths:          c.policy.Paths,
		})
		c.byKey[key] = client
	}
	return client
}

// closeIdle closes idle connections.
func (c *clients) closeIdle() {
	if c.policy.Client != nil {
		c.policy.Client.CloseIdle()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.byKey {
		client.CloseIdle()
	}
}

// minPlannedBalancers is the smallest fleet size to plan for: each tenant has 13 to 18 balancers
// today.
const minPlannedBalancers = 16

// plannedBalancers rounds the number of sharers up to a power of two, at least
// minPlannedBalancers, so that the share of connections stays the same while single balancers join
// and leave.
func plannedBalancers(sharers int) int {
	planned := minPlannedBalancers
	for planned < sharers {
		planned *= 2
	}
	return planned
}
