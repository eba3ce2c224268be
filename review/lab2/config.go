//go:build review

package lab2

import "encoding/json"

// Route is a route of the operators' configuration.
type Route struct {
	Name, Host, Prefix, Kind, Service   string
	TimeoutMs, TargetMs, Priority, Most int
	Public                              bool
	Split                               []Part // in place of Service
}

// Part is a part of a split.
type Part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Team is a tenant of the operators' configuration.
type Team struct {
	Name  string
	Keys  []string
	Rate  float64
	Burst float64
}

// Service is a service of the operators' configuration.
type Service struct {
	Name           string
	MaxConnections int
}

// Config returns the value of op/config.
func Config(version int, routes []Route, services []Service, teams []Team) []byte {
	type resource struct {
		Type     string            `json:"resourceType"`
		Metadata map[string]string `json:"metadata"`
		Spec     map[string]any    `json:"spec"`
	}
	var all []resource
	add := func(kind, name string, spec map[string]any) {
		all = append(all, resource{kind, map[string]string{"name": name}, spec})
	}
	for _, r := range routes {
		spec := map[string]any{
			"host": r.Host, "pathPrefix": r.Prefix, "routeType": r.Kind, "timeoutMs": r.TimeoutMs,
			"targetLatencyMs": r.TargetMs, "priority": r.Priority, "service": r.Service, "maxAttempts": r.Most,
		}
		if len(r.Split) > 0 {
			delete(spec, "service")
			spec["trafficSplit"] = r.Split
		}
		if r.Public {
			spec["public"] = true
		}
		add("routes", r.Name, spec)
	}
	for _, s := range services {
		add("services", s.Name, map[string]any{"healthPath": "/health", "maxConnections": s.MaxConnections, "protocol": "h1", "tls": false})
	}
	for _, t := range teams {
		spec := map[string]any{"apiKeys": t.Keys}
		if t.Rate > 0 {
			spec["ratePerS"], spec["burst"] = t.Rate, t.Burst
		}
		add("tenants", t.Name, spec)
	}
	add("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
	raw, err := json.Marshal(map[string]any{"version": version, "baseVersion": version - 1, "resources": all})
	if err != nil {
		panic(err)
	}
	return raw
}
