package server

import (
	"fmt"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/direct"
	"github.com/rcrowley/go-metrics"
)

const (
	// waitingMemory is the memory of a waiting request in bytes, with its connection and goroutines.
	waitingMemory = 28_000
	// waitingShare is the part of the process's memory that waiting requests may take. The rest is for
	// requests at endpoints and for the copy of the store.
	waitingShare = 0.5
)

// maxWaiting returns how many requests may wait for an endpoint in a process with a memory limit in
// MiB; 0 stands for no limit.
func maxWaiting(mebibytes int) int {
	if mebibytes <= 0 {
		return direct.DefaultMaxWaiting
	}
	return min(direct.DefaultMaxWaiting, max(1, int(waitingShare*float64(mebibytes)*(1<<20)/waitingMemory)))
}

// addQueues serves what operators ask about requests that wait for an endpoint:
//
//	GET /queues    who waits, by service and priority, the forecast, and who was rejected
func (s *Server) addQueues(mux *http.ServeMux) {
	mux.HandleFunc("GET /queues", func(w http.ResponseWriter, _ *http.Request) { s.encode(w, s.queues(time.Now())) })
}

// queues returns the queues; empty with homes, each of which has its own.
func (s *Server) queues(now time.Time) []direct.QueueStatus {
	if s.direct == nil {
		return []direct.QueueStatus{}
	}
	return s.direct.Queues(now)
}

// updateQueueMetrics sets the gauges of waiting requests, by priority, over all services.
func (s *Server) updateQueueMetrics(now time.Time) {
	waiting := map[int]int64{}
	for _, q := range s.queues(now) {
		waiting[q.Priority] += int64(q.Waiting + q.Late)
	}
	for priority, n := range waiting {
		metrics.GetOrRegisterGauge(fmt.Sprintf(`queue_waiting{priority="%d"}`, priority), s.metrics).Update(n)
	}
}
