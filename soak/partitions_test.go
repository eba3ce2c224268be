package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"gotest.tools/v3/assert"
)

// TestServedAroundIsChecked: requests that fail at a balancer without paths are a violation while another
// one has its paths and serves; not where none has, and not where keys or quotas refuse them.
func TestServedAroundIsChecked(t *testing.T) {
	from := time.Now()
	second := func(n float64) time.Time { return from.Add(time.Duration(n * float64(time.Second))) }
	cases := map[string]struct {
		status      int
		reason      reason.Code
		othersFail  bool
		disturbed   string // balancer that is restarted meanwhile
		want        int
		partitioned []string
	}{
		"served":                     {status: http.StatusOK, partitioned: []string{"vm-0"}},
		"refused":                    {status: http.StatusServiceUnavailable, partitioned: []string{"vm-0"}, want: 1},
		"refused at all":             {status: http.StatusServiceUnavailable, othersFail: true, partitioned: []string{"vm-0"}},
		"quota":                      {status: http.StatusTooManyRequests, reason: reason.QuotaExceeded, partitioned: []string{"vm-0"}},
		"the other is restarted":     {status: http.StatusServiceUnavailable, disturbed: "vm-1", partitioned: []string{"vm-0"}},
		"this balancer is restarted": {status: http.StatusServiceUnavailable, disturbed: "vm-0", partitioned: []string{"vm-0"}},
		"none has paths":             {status: http.StatusServiceUnavailable, partitioned: []string{"vm-0", "vm-1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, calendar := newLedger(), &calendar{}
			p := partitioning{balancers: map[string]bool{}, from: from, to: second(8)}
			for _, id := range c.partitioned {
				p.balancers[id] = true
			}
			calendar.partitionings = append(calendar.partitionings, p)
			if c.disturbed != "" {
				calendar.disturb(c.disturbed, second(1), second(7))
			}
			for i := range 80 {
				r := &sentRequest{id: fmt.Sprint(i), balancer: fmt.Sprintf("vm-%d", i%2), at: second(3.1 + float64(i)/40), reason: c.reason}
				l.begin(r)
				status := http.StatusOK
				if i%2 == 0 || c.othersFail {
					status = c.status
				}
				l.end(r, status, r.at)
			}
			l.checkPartitions(calendar)
			assert.Equal(t, len(l.violations), c.want, "%v", l.violations)
		})
	}
}
