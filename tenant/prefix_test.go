package tenant_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/tenant"
	"gotest.tools/v3/assert"
)

func prefixRoute(name, host, prefix string, split ...tenant.Share) tenant.PrefixRoute {
	return tenant.PrefixRoute{
		Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Target: 250 * time.Millisecond, MaxAttempts: 2, Split: split,
	}
}

// TestLongestPrefixWins among the routes of the request's host.
func TestLongestPrefixWins(t *testing.T) {
	one := tenant.Share{Service: "s", Weight: 1}
	table := tenant.NewPrefixTable("bennani", []tenant.PrefixRoute{
		prefixRoute("short", "a.example", "/x/", one),
		prefixRoute("long", "a.example", "/x/y/", one),
		prefixRoute("other", "b.example", "/", one),
	})
	cases := []struct {
		host, path, want string
		code             reason.Code
	}{
		{"a.example", "/x/y/z", "long", ""},
		{"a.example", "/x/yz", "short", ""},
		{"a.example", "/x/", "short", ""},
		{"a.example", "/x", "", reason.NoKind},
		{"a.example", "/y/x/", "", reason.NoKind},
		{"b.example", "/x/y/z", "other", ""},
		{"c.example", "/x/y/z", "", reason.NoTeam},
	}
	for _, c := range cases {
		route, code := table.Route(c.host, c.path, 0)
		assert.Equal(t, code, c.code, "%s%s", c.host, c.path)
		if c.code == "" {
			assert.Equal(t, route.Kind.Name, c.want, "%s%s", c.host, c.path)
		}
	}
}

// TestSplitFollowsWeights, and a weight of 0 gets nothing.
func TestSplitFollowsWeights(t *testing.T) {
	table := tenant.NewPrefixTable("bennani", []tenant.PrefixRoute{prefixRoute("r", "a.example", "/",
		tenant.Share{Service: "big", Weight: 90}, tenant.Share{Service: "none", Weight: 0}, tenant.Share{Service: "small", Weight: 10})})
	got := map[string]int{}
	for draw := range uint64(1000) {
		route, _ := table.Route("a.example", "/p", draw*0x9e3779b97f4a7c15)
		got[route.Kind.Service]++
	}
	assert.Assert(t, got["big"] > 850 && got["big"] < 950, "%v", got)
	assert.Equal(t, got["none"], 0)
	assert.Equal(t, got["big"]+got["small"], 1000)
}

// TestRouteFaultsNameTheField.
func TestRouteFaultsNameTheField(t *testing.T) {
	services := map[string]tenant.Service{"s": {}}
	good := prefixRoute("r", "a.example", "/x/", tenant.Share{Service: "s", Weight: 1})
	assert.Equal(t, len(good.Faults(services)), 0)
	cases := []struct {
		field  string
		change func(*tenant.PrefixRoute)
	}{
		{"host", func(r *tenant.PrefixRoute) { r.Host = "" }},
		{"prefix", func(r *tenant.PrefixRoute) { r.Prefix = "/x" }},
		{"timeout", func(r *tenant.PrefixRoute) { r.Timeout = 0 }},
		{"target", func(r *tenant.PrefixRoute) { r.Target = -1 }},
		{"attempts", func(r *tenant.PrefixRoute) { r.MaxAttempts = 0 }},
		{"service", func(r *tenant.PrefixRoute) { r.Split = nil }},
		{"split[0].service", func(r *tenant.PrefixRoute) { r.Split = []tenant.Share{{Service: "t", Weight: 1}} }},
		{"split[0].weight", func(r *tenant.PrefixRoute) {
			r.Split = []tenant.Share{{Service: "s", Weight: -1}, {Service: "s", Weight: 2}}
		}},
		{"split: has no weight", func(r *tenant.PrefixRoute) { r.Split = []tenant.Share{{Service: "s", Weight: 0}} }},
	}
	for _, c := range cases {
		r := good
		c.change(&r)
		text := fmt.Sprint(r.Faults(services))
		assert.Assert(t, strings.Contains(text, `route "r": `+c.field), "%s: %s", c.field, text)
	}
}
