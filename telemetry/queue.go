package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueBytes bounds what waits to be written, in bytes.
const queueBytes = 256 << 10

// Queue is a writer of log lines that never waits for the reader of the log:
// lines wait in memory, up to a bound, for one goroutine that writes them. Lines
// beyond the bound are dropped, counted, and the count is logged when there is
// room again.
type Queue struct {
	out     io.Writer
	dropped atomic.Int64
	wake    chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	pending []byte
	logged  int64 // of the dropped ones, how many a line has counted
	closed  bool
}

// NewQueue starts a queue in front of out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one or more whole lines. It never waits and never fails.
func (q *Queue) Write(lines []byte) (int, error) {
	q.mu.Lock()
	if q.closed || len(q.pending)+len(lines) > queueBytes {
		q.mu.Unlock()
		q.dropped.Add(int64(bytes.Count(lines, []byte{'\n'})))
		return len(lines), nil
	}
	q.pending = append(q.pending, lines...)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(lines), nil
}

// Dropped returns how many lines were dropped.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes what waits, for as long as within at most, and ends the queue.
func (q *Queue) Close(within time.Duration) {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.wake)
	}
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(within):
	}
}

func (q *Queue) run() {
	defer close(q.done)
	var batch []byte
	for range q.wake {
		batch = q.take(batch[:0])
		_, _ = q.out.Write(batch) // a log that cannot be written must not stop anything
	}
	_, _ = q.out.Write(q.take(batch[:0])) // standard output; there is nobody else to tell
}

// take returns the lines that wait, and a line on those that were dropped.
func (q *Queue) take(batch []byte) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch = append(batch, q.pending...)
	q.pending = q.pending[:0]
	if dropped := q.dropped.Load(); dropped > q.logged {
		batch = fmt.Appendf(batch, "%s [WARN]  lotuswing.log: lines dropped: lines=%d\n", time.Now().UTC().Format(timeFormat), dropped-q.logged)
		q.logged = dropped
	}
	return batch
}
