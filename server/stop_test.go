package server

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// slowChooser takes its time to hand duties over.
type slowChooser struct {
	chooser
	takes time.Duration
}

func (f slowChooser) HandOver(context.Context) { time.Sleep(f.takes) }

// TestHandingOverTakesNoPartOfTheGrace, and is waited for. Time is virtual.
func TestHandingOverTakesNoPartOfTheGrace(t *testing.T) {
	for _, c := range []struct{ takes, want time.Duration }{
		{400 * time.Millisecond, 3 * time.Second},
		{4 * time.Second, 4 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &Server{chooser: slowChooser{takes: c.takes}}
			began := time.Now()
			s.announce(context.Background(), 3*time.Second)
			assert.Equal(t, time.Since(began), c.want)
		})
	}
}

func TestSlowHandOverDoesNotKeepListenerOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{chooser: slowChooser{takes: 4 * time.Second}}
		began := time.Now()
		s.announce(context.Background(), 3*time.Second)
		assert.Equal(t, time.Since(began), 3*time.Second)
		time.Sleep(time.Second) // the duties are handed over
	})
}
