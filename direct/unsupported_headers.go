package direct

import (
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/rcrowley/go-metrics"
)

// maxUnsupportedHeaders is the maximum number of pairs of service and header name that are logged.
const maxUnsupportedHeaders = 256

// unsupportedHeaders counts the response headers that this version does not know or cannot parse,
// and logs each name once for each service, since an endpoint may use such a header to ask for
// something that this version does not support.
type unsupportedHeaders struct {
	log   hclog.Logger
	count metrics.Counter

	mu   sync.Mutex
	seen map[unsupportedHeader]bool
}

type unsupportedHeader struct{ service, name string }

func newUnsupportedHeaders(log hclog.Logger, r metrics.Registry) *unsupportedHeaders {
	return &unsupportedHeaders{log: log, count: metrics.GetOrRegisterCounter("headers_unread", r), seen: map[unsupportedHeader]bool{}}
}

// record counts the header names of one response, and logs those that are new.
func (u *unsupportedHeaders) record(e limits.Endpoint, names []string) {
	if len(names) == 0 {
		return
	}
	u.count.Inc(int64(len(names)))
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, name := range names {
		key := unsupportedHeader{e.Service, name}
		if u.seen[key] || len(u.seen) >= maxUnsupportedHeaders {
			continue
		}
		u.seen[key] = true
		u.log.Info("unsupported header in endpoint response", "header", name, "service", e.Service, "id", e.ID)
	}
}
