package direct

import (
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/rcrowley/go-metrics"
)

// maxUnreadNames bounds how many different header names are logged, over all services.
const maxUnreadNames = 256

// unreadHeaders counts the response headers that this version does not know or cannot parse, and
// logs each name once for each service: an endpoint may ask for something that this version does
// not support.
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

// record counts the header names of one response, and logs those that are new.
func (u *unreadHeaders) record(e limits.Endpoint, names []string) {
	if len(names) == 0 {
		return
	}
	u.count.Inc(int64(len(names)))
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, name := range names {
		key := unreadHeader{e.Service, name}
		if u.seen[key] || len(u.seen) >= maxUnreadNames {
			continue
		}
		u.seen[key] = true
		u.log.Info("unsupported header in endpoint response", "header", name, "service", e.Service, "id", e.ID)
	}
}
