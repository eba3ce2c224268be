package server

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/urgency"
	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// starting returns a server that has just started and has no configuration.
func starting(mode urgency.Mode) *Server {
	s := &Server{startedAt: time.Now(), routable: make(chan struct{}), stopping: make(chan struct{})}
	s.cfg.Settings.Overload.Order = mode
	return s
}

// TestAwaitReady checks that a request that comes before the first configuration waits for it, in
// virtual time: until it comes, until a second after the start, until a planned stop begins or the
// caller leaves, and not at all where requests are not ordered by urgency.
func TestAwaitReady(t *testing.T) {
	left, leave := context.WithCancel(context.Background())
	leave()
	for _, c := range []struct {
		name  string
		mode  urgency.Mode
		ctx   context.Context
		after time.Duration // from the start of the process to the request
		event func(s *Server)
		want  bool
		took  time.Duration
	}{
		{"the configuration comes", urgency.On, context.Background(), 0, func(s *Server) { close(s.routable) }, true, 700 * time.Millisecond},
		{"it does not come", urgency.On, context.Background(), 0, func(*Server) {}, false, time.Second},
		{"it does not come, and the request came later", urgency.On, context.Background(), 600 * time.Millisecond, func(*Server) {}, false, 400 * time.Millisecond},
		{"it is long overdue", urgency.On, context.Background(), time.Minute, func(*Server) {}, false, 0},
		{"planned stop", urgency.On, context.Background(), 0, func(s *Server) { close(s.stopping) }, false, 700 * time.Millisecond},
		{"the caller left", urgency.On, left, 0, func(*Server) {}, false, 0},
		{"not ordered by urgency", urgency.Off, context.Background(), 0, func(*Server) {}, false, 0},
		{"nothing says that they are", urgency.Auto, context.Background(), 0, func(*Server) {}, false, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := starting(c.mode)
			time.Sleep(c.after)
			go func() {
				time.Sleep(700 * time.Millisecond)
				c.event(s)
			}()
			began := time.Now()
			assert.Equal(t, s.awaitReady(c.ctx), c.want, c.name)
			assert.Equal(t, time.Since(began), c.took, c.name) // virtual time
			time.Sleep(time.Second)                            // until the goroutine has ended
		})
	}
}

// TestStopRefusesRequestsThatWaitForFirstConfiguration at once, those that wait to be read included.
func TestStopRefusesRequestsThatWaitForFirstConfiguration(t *testing.T) {
	for _, mode := range []urgency.Mode{urgency.On, urgency.Off} {
		synctest.Test(t, func(t *testing.T) {
			s := starting(mode)
			s.direct = direct.New(direct.Config{Directory: directory.New(), Metrics: metrics.NewRegistry(), Log: hclog.NewNullLogger()})
			began := time.Now()
			time.AfterFunc(100*time.Millisecond, func() { close(s.stopping) })
			s.waitToServe()
			assert.Assert(t, !s.awaitReady(context.Background()))
			late := time.Since(began) - 100*time.Millisecond
			assert.Assert(t, late >= 0 && late <= readyPoll, "%v: %v", mode, late)
		})
	}
}

// TestNotReadyRetryAfter checks that callers are told the likely time where requests are held at the
// start, and one second as before elsewhere.
func TestNotReadyRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ordered, others := starting(urgency.On), starting(urgency.Auto)
		time.Sleep(time.Minute)
		for range 20 {
			got := ordered.notReadyRetryAfter()
			assert.Assert(t, got >= time.Second && got < 3*time.Second, "%v", got)
			assert.Equal(t, others.notReadyRetryAfter(), time.Second)
		}
	})
}
