package node

import (
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/member"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/link"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// acceptSilently accepts connections on which nothing is answered, and counts them.
func acceptSilently(t *testing.T, l net.Listener, count *atomic.Int64) {
	t.Helper()
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			count.Add(1)
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
}

func TestHandOverDoesNotTakeLongerWithSilentMembers(t *testing.T) {
	n := newTestNode(t)
	var called atomic.Int64
	var d link.Digest
	for i := range 40 {
		l := listen(t)
		acceptSilently(t, l, &called)
		d.Members = append(d.Members, member.Member{ID: fmt.Sprint("m-", i), Addr: l.Addr().String()})
	}
	n.merge(d)
	n.HandOver(t.Context())
	for called.Load() < 8 { // a connection may be accepted a moment after it is open
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, called.Load(), int64(8), "members called")
}

// TestHandOverTellsThoseWhoNeedToKnow, and no more in a large fleet.
func TestHandOverTellsThoseWhoNeedToKnow(t *testing.T) {
	for _, size := range []int{1, 2, 5, 30, 300, 984, 7257} {
		n := newTestNode(t)
		n.cfg.Settings.Peers = []string{"m-2", "m-4", "gone"}
		self := n.members.table.Self()
		before, now := &snapshot{homes: map[string]member.Member{}}, &snapshot{homes: map[string]member.Member{}}
		for i := 1; i < size; i++ {
			m := member.Member{ID: fmt.Sprint("m-", i), Addr: fmt.Sprint("m-", i)}
			now.view.Members = append(now.view.Members, m)
			before.homes[m.ID] = self
			now.homes[m.ID] = now.view.Members[0] // all services have the same new home
		}
		got := n.handOverTargets(before, now)
		assert.Equal(t, len(got), min(size-1, 8), "%d", size)
		if size > 4 {
			assert.Assert(t, got[0] == "m-1" && slices.Contains(got, "m-2") && slices.Contains(got, "m-4"), "%v", got)
		}
	}
}

// TestStoppedHomeTakesUpNoService, nor the measuring lease.
func TestStoppedHomeTakesUpNoService(t *testing.T) {
	n := newTestNode(t)
	n.meters["bennani"] = newMeter(n, "bennani")
	n.HandOver(t.Context())
	err := (&receiver{n}).Acquire(link.AcquireArgs{Service: "bennani/new", ID: "r"}, &link.AcquireReply{})
	assert.ErrorIs(t, err, errMoved)
	assert.Equal(t, len(n.snapshot.Load().homes), 0)
	assert.Assert(t, n.meters["bennani"].left)
}

func TestBalancerThatWasNotToldLearnsOfStopFromItsHome(t *testing.T) {
	n, l := newTestNode(t), listen(t)
	home := build(Config{
		Settings: settings.Settings{ID: "home"}, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Listener: l,
	}, nil)
	t.Cleanup(home.client.Close)
	server, err := link.Serve(l, nil, &receiver{home})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	known := home.members.table.Self()
	n.merge(link.Digest{From: known})
	home.HandOver(t.Context())
	setHome(n, known)
	end := time.Now().Add(time.Second)
	_, _ = n.Acquire(t.Context(), placement.Request{ID: "r", Service: movedService, Patience: time.Second, Deadline: end})
	_, found := n.snapshot.Load().view.Find("home")
	assert.Assert(t, !found)
}
