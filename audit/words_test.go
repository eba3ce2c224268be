package audit_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/audit"
	"gotest.tools/v3/assert"
)

// at returns a time in milliseconds.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func arrival(balancer string, ms int) audit.Arrival {
	return audit.Arrival{Endpoint: "e", Balancer: balancer, At: at(ms), Answered: at(ms + 10)}
}

func TestLeavingIsAudited(t *testing.T) {
	said := arrival("b1", 0)
	said.Leaving = true
	old := arrival("b1", 5000)
	old.Sent = at(100)
	for name, c := range map[string]struct {
		arrivals []audit.Arrival
		broken   int
	}{
		"within the bound":            {[]audit.Arrival{said, arrival("b1", 2009)}, 0},
		"beyond it":                   {[]audit.Arrival{said, arrival("b1", 2011), arrival("b1", 3000)}, 2},
		"from another balancer":       {[]audit.Arrival{said, arrival("b2", 3000)}, 0},
		"sent before, arrived late":   {[]audit.Arrival{said, old}, 0},
		"the word was never answered": {[]audit.Arrival{{Endpoint: "e", Balancer: "b1", At: at(0), Leaving: true}, arrival("b1", 3000)}, 0},
	} {
		assert.Equal(t, len(audit.SentAfterLeaving(c.arrivals, 2*time.Second, nil)), c.broken, name)
	}
}

func TestBackoffsAreAudited(t *testing.T) {
	asked := arrival("b1", 0)
	asked.Backoff = 3 * time.Second
	few := []audit.Arrival{asked, arrival("b1", 100), arrival("b1", 505), arrival("b1", 600), arrival("b1", 700), arrival("b1", 3011)}
	assert.Equal(t, len(audit.SentInBackoff(few, nil)), 0)
	assert.Equal(t, len(audit.SentInBackoff(append(few, arrival("b2", 800)), nil)), 0)
	assert.Equal(t, len(audit.SentInBackoff(append(few, arrival("b1", 3009)), nil)), 1)
}
