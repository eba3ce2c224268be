package systemtest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/standin"
	"gotest.tools/v3/assert"
)

const bennani = "../examples/bennani.jsonc"

// TestWholePath serves requests end to end over separate processes: a store,
// two balancers in two zones, and callers.
func TestWholePath(t *testing.T) {
	f := newFleet(t)
	for i := range 3 {
		f.addEndpoint("bennani", "case-files", fmt.Sprintf("case-%d", i), "medina", standin.EndpointOptions{ServiceTime: time.Millisecond})
	}
	f.apply(bennani)
	a := f.addBalancer("vm-a", "medina", "bennani")
	b := f.addBalancer("vm-b", "tribunal", "bennani")
	f.list()
	f.ready()
	for i, balancer := range []*balancerProcess{a, b} {
		key := fmt.Sprintf("request-%d", i)
		got := do(http.MethodGet, balancer.url()+"/cases/7", "medina.bennani", key, "")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.header.Get(verdict.Header), "ran")
		assert.Equal(t, got.body, wantBody(key, "/cases/7", ""))
	}
	got := do(http.MethodGet, a.url()+"/nothing", "medina.bennani", "", "")
	assert.Equal(t, got.status, http.StatusNotFound)
	assert.Equal(t, got.header.Get(verdict.Header), "not-run")
	assert.Equal(t, got.header.Get(verdict.ReasonHeader), "LW1002")

	out, code := ctl(t, "load", "--target", a.url(), "--target", b.url(), "--rate", "100", "--for", "1s", "--format", "json")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, `"broken": "0"`), out)
}
