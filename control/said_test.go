package control

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/lotuswing/lotuswing/server"
	"gotest.tools/v3/assert"
)

// TestSaidRows: what endpoints say, as operators read it.
func TestSaidRows(t *testing.T) {
	said := func(e direct.EndpointNotice) server.SaidStatus { return server.SaidStatus{EndpointNotice: e} }
	named := said(direct.EndpointNotice{Endpoint: "e3", Backoff: time.Second})
	named.Limit = &limits.Status{State: "named", Status: limit.Status{PerSecond: 2.5}}
	lifted := said(direct.EndpointNotice{Endpoint: "e4"})
	lifted.Limit = &limits.Status{State: "lifted", Status: limit.Status{PerSecond: 2}}
	_, rows := saidRows([]server.SaidStatus{
		said(direct.EndpointNotice{Endpoint: "e0", Service: "s", Zone: "z", Leaving: true}),
		said(direct.EndpointNotice{Endpoint: "e1", Backoff: 1500 * time.Millisecond, Hint: time.Second}),
		said(direct.EndpointNotice{Endpoint: "e2", Slow: true}), named, lifted,
	})
	assert.DeepEqual(t, rows, [][]string{
		{"e0", "s", "z", "leaves"},
		{"e1", "", "", "wants no requests for 1.5s, wants none of another balancer for 1s"},
		{"e2", "", "", "takes few requests after it wanted none"},
		{"e3", "", "", "wants no requests for 1s, takes 2.5 a second"},
		{"e4", "", "", "took 2.0 a second"},
	})
}
