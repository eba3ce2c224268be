package soak

import (
	"math/rand/v2"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/tenant"
)

// publish moves the route "/move/" to the other service.
func (w *world) publish(rng *rand.Rand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announce(1+rng.Uint64N(4), map[string]string{serviceAlpha: serviceBeta, serviceBeta: serviceAlpha}[w.moveTo])
}

// publishAgain publishes the present routes as a new version.
func (w *world) publishAgain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announce(1, w.moveTo)
}

// announce publishes a version, step later than the last one, that sends "/move/" to a service; w.mu is held.
func (w *world) announce(step uint64, moveTo string) {
	w.version += step
	w.moveTo = moveTo
	route := func(name, prefix, service string, repeatable bool) tenant.PrefixRoute {
		return tenant.PrefixRoute{
			Name: name, Host: host, Prefix: prefix, Repeatable: repeatable, Timeout: routeTimeout,
			Target: routeTimeout / 4, MaxAttempts: 2, Split: []tenant.Share{{Service: service, Weight: 1}},
		}
	}
	routes := []tenant.PrefixRoute{
		route("read", readPrefix, serviceAlpha, true),
		route("file", filePrefix, serviceBeta, false),
		route("move", movePrefix, w.moveTo, true),
	}
	services := map[string]tenant.Service{
		serviceAlpha: {ProbePath: "/health", Connections: 200, WarmupRate: w.warmupRate(serviceAlpha)},
		serviceBeta:  {ProbePath: "/health", Connections: 200, WarmupRate: w.warmupRate(serviceBeta)},
	}
	if w.slow {
		routes = append(routes, route("slow", slowPrefix, serviceSlow, true))
		services[serviceSlow] = tenant.Service{ProbePath: "/health", Connections: 200}
	}
	if w.crashes != nil {
		routes = append(routes, fragileRoute())
		services[serviceFragile] = tenant.Service{ProbePath: "/health", Connections: 200}
	}
	var all []platformtest.Team
	if w.teams != nil {
		all = w.teams.all()
	}
	w.store.PublishTeams(w.version, routes, services, all)
	w.calendar.publish(version{number: w.version, service: w.moveTo, at: time.Now()})
}
