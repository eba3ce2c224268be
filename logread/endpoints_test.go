package logread_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/logread"
	"gotest.tools/v3/assert"
)

// attempt returns the lines of a request with one attempt.
func attempt(process, request, endpoint, verdict string, status int, took float64) string {
	const at = "2026-05-01T00:00:01.000Z [INFO]  lotuswing.request: "
	return fmt.Sprintf("  1.0 %s %sadmitted: request=%s route=a service=archives version=3\n", process, at, request) +
		fmt.Sprintf("  1.0 %s %sattempt ended: request=%s attempt=1 endpoint=%s verdict=%s reason=\"\" status=%d took_ms=%.1f\n", process, at, request, endpoint, verdict, status, took) +
		fmt.Sprintf("  1.0 %s %sended: request=%s verdict=%s status=%d\n", process, at, request, verdict, status)
}

// TestEndpointThatFailsInPart: what one balancer each saw of an endpoint tells nothing,
// put together it comes first.
func TestEndpointThatFailsInPart(t *testing.T) {
	var one, two strings.Builder
	for i := range 6 {
		_, _ = one.WriteString(attempt(fmt.Sprint("vm-", i), "r", "e-well", "ran", 200, 100+float64(i)))
	}
	_, _ = one.WriteString(attempt("vm-0", "r", "e-grey", "ran", 500, 3))
	_, _ = two.WriteString(attempt("vm-1", "r", "e-grey", "may-have-run", 0, 400))
	_, _ = two.WriteString(attempt("vm-2", "r", "e-grey", "not-run", 503, 2))
	_, _ = two.WriteString(attempt("vm-3", "r", "e-grey", "ran", 200, 250))
	_, _ = two.WriteString(attempt("vm-3", "r2", "e-grey", "ran", 404, 350))
	_, _ = two.WriteString("no line of a balancer\n")
	seen, err := logread.Endpoints([]logread.Source{
		{Name: "one.log", Log: strings.NewReader(one.String())}, {Name: "two.log", Log: strings.NewReader(two.String())},
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, seen, []logread.Seen{
		{Endpoint: "e-grey", Service: "archives", Balancers: 4, Attempts: 5, Ran: 2, Failed: 1, Refused: 1, Unknown: 1, Median: 350 * time.Millisecond},
		{Endpoint: "e-well", Service: "archives", Balancers: 6, Attempts: 6, Ran: 6, Median: 103 * time.Millisecond},
	})
	assert.Equal(t, seen[0].Share(), 0.6)
	assert.Equal(t, logread.Seen{}.Share(), 0.0)
}
