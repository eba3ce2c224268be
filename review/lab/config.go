//go:build review

package main

import "time"

// site has what the pages set for a deployment.
type site struct {
	region      string
	applyWithin time.Duration // configApplyMs and drainMs
	budgetSlack int
	linkMbps    float64 // of a balancer's machine
}

// vpat is the site of the file vpat-gateway-grown.toml, with fewer machines.
var vpat = site{region: "viti", applyWithin: 2500 * time.Millisecond, budgetSlack: 160, linkMbps: 10}

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeout, target                   time.Duration
}

// publish writes a version of the configuration.
func (s *store) publish(version int, routes []route, services ...string) {
	var resources []map[string]any
	add := func(kind, name string, spec map[string]any) {
		resources = append(resources, map[string]any{"resourceType": kind, "metadata": map[string]any{"name": name}, "spec": spec})
	}
	for _, r := range routes {
		add("routes", r.name, map[string]any{
			"host": r.host, "pathPrefix": r.prefix, "routeType": r.kind, "timeoutMs": r.timeout.Milliseconds(),
			"targetLatencyMs": r.target.Milliseconds(), "priority": 2, "service": r.service, "maxAttempts": 2,
		})
	}
	for _, name := range services {
		add("services", name, map[string]any{"healthPath": "/health", "maxConnections": 840, "protocol": "h1", "tls": false})
	}
	add("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
	s.put("op/config", map[string]any{"version": version, "resources": resources})
}
