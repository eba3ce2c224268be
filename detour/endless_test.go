package detour_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/internal/partition"
	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestCarriedResponseWithoutEndIsCut guards against an endpoint whose response, which has no end, holds two
// balancers or their memory.
func TestCarriedResponseWithoutEndIsCut(t *testing.T) {
	for _, f := range slices.Concat(rawendpoint.AllEndlessFaults, rawendpoint.SilentFaults) {
		t.Run(string(f), func(t *testing.T) {
			carrier := startCarrier(t, 4)
			r := newRig(t, carrier.addr)
			e, err := rawendpoint.NewFaulty()
			assert.NilError(t, err)
			t.Cleanup(e.Close)
			e.Set(f)
			r.network.Set(partition.Refused)
			in, err := http.NewRequest(http.MethodGet, "http://caller/x", nil)
			assert.NilError(t, err)
			res := r.client.Send(t.Context(), upstream.Request{
				ID: "r1", Addr: e.Addr(), Incoming: in, Body: upstream.NewBody(strings.NewReader(""), 1<<10), Deadline: time.Now().Add(500 * time.Millisecond),
			})
			assert.Assert(t, res.Carrier != "")
			if res.Response != nil {
				_, err = io.Copy(io.Discard, res.Response.Body)
				assert.Equal(t, err == nil, f == rawendpoint.EndlessSurplus, "%v", err)
			}
			// The result is not closed: the deadline alone has to end the carried connection.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if writing, _ := e.Endless(); writing > 0 || carrier.server.Carried() > 0 {
					return poll.Continue("still carried")
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
			res.Close()
		})
	}
}
