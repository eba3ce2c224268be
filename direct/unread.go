package direct

import (
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/rcrowley/go-metrics"
)

// mostUnread bounds how many header names of services are logged.
const mostUnread = 256

// unreadHeaders counts the headers in answers that nothing here reads, and logs each name once
// for each service: an endpoint may ask for something that this version does not know.
type unreadHeaders struct {
	log   hclog.Logger
	count metrics.Counter

	mu   sync.Mutex
	seen map[unreadHeader]bool
}

type unreadHeader struct{ service, name string }

func newUnreadHeaders(log hclog.Logger, r metrics.Registry) *unreadHeaders {
	return &unreadHeaders{log: log, count: metrics.GetOrRegisterCounter("headers_unread", r), seen: map[unreadHeader]bool{}}
}

// note notes the names in one answer.
func (u *unreadHeaders) note(e limits.Endpoint, names []string) {
	if len(names) == 0 {
		return
	}
	u.count.Inc(int64(len(names)))
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, name := range names {
		key := unreadHeader{e.Service, name}
		if u.seen[key] || len(u.seen) >= mostUnread {
			continue
		}
		u.seen[key] = true
		u.log.Info("header of an endpoint not read", "header", name, "service", e.Service, "id", e.ID)
	}
}
