package control

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/command"
	"github.com/lotuswing/lotuswing/server"
	"gotest.tools/v3/assert"
)

// TestStopsAreShown, of a balancer that stops, of one that does not and of one that is gone.
func TestStopsAreShown(t *testing.T) {
	list := []stopOf{
		{Balancer: "a", StopStatus: server.StopStatus{Phase: "running", InFlight: 2, Connections: 3}},
		{Balancer: "b", StopStatus: server.StopStatus{Phase: "notice", Since: 1500400 * time.Microsecond, EndsIn: 4 * time.Second, InFlight: 2}},
		{Balancer: "c", StopStatus: server.StopStatus{Phase: "ending", HandedOver: true, HandOverTook: time.Second, GivenUp: 4, Cut: 5}},
		{Balancer: "d", Error: "refused"},
		{Balancer: "e", StopStatus: server.StopStatus{Phase: "over"}},
	}
	_, rows := stopRows(list)
	assert.DeepEqual(t, rows, [][]string{
		{"a", "running", "-", "-", "2", "3", "-", "0", "0"},
		{"b", "notice", "1.5s", "4s", "2", "0", "being handed over", "0", "0"},
		{"c", "ending", "0s", "0s", "0", "0", "handed over in 1s", "4", "5"},
		{"d", "no answer", "-", "-", "-", "-", "-", "-", "-"},
		{"e", "over", "0s", "0s", "0", "0", "not handed over", "0", "0"},
	})
}

// TestStopsOfSomeBalancersAreShownWhereOthersDoNotAnswer, as those that have stopped do not.
func TestStopsOfSomeBalancersAreShownWhereOthersDoNotAnswer(t *testing.T) {
	balancer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"ID": "vm-1", "Stop": {"Phase": "draining", "InFlight": 7}}`))
	}))
	defer balancer.Close()
	stopped := httptest.NewServer(nil)
	stopped.Close()
	addrs := []string{stopped.Listener.Addr().String(), balancer.Listener.Addr().String()}
	var out bytes.Buffer
	e := &command.Env{Out: &out, Format: "json"}
	assert.NilError(t, stops(e, addrs))
	assert.Assert(t, strings.Contains(out.String(), `"draining"`) && strings.Contains(out.String(), "refused"), out.String())
	assert.ErrorContains(t, stops(e, addrs[:1]), addrs[0])
}
