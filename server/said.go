package server

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/limits"
)

// SaidStatus is what one endpoint has said of itself in its answers. Its names are the JSON's.
type SaidStatus struct {
	direct.EndpointNotice
	Limit *limits.Status `json:",omitempty"` // that it names or has named
}

// addSaid serves what operators ask about what endpoints say of themselves:
//
//	GET /said    which leave, which want no requests and until when, which name a limit
func (s *Server) addSaid(mux *http.ServeMux) {
	mux.HandleFunc("GET /said", func(w http.ResponseWriter, _ *http.Request) { s.encode(w, s.said(time.Now())) })
}

// said returns what endpoints have said, by service and identity; nothing with homes, where each
// home knows it.
func (s *Server) said(now time.Time) []SaidStatus {
	list := []SaidStatus{}
	if s.direct == nil {
		return list
	}
	for _, e := range s.direct.EndpointNotices(now) {
		list = append(list, SaidStatus{EndpointNotice: e})
	}
	for _, l := range s.limitList() {
		list = withLimit(list, l)
	}
	slices.SortStableFunc(list, func(a, b SaidStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list
}

// withLimit adds an endpoint's limit to what else it has said.
func withLimit(list []SaidStatus, l limits.Status) []SaidStatus {
	i := slices.IndexFunc(list, func(s SaidStatus) bool { return s.Endpoint == l.Endpoint })
	if i < 0 {
		i, list = len(list), append(list, SaidStatus{EndpointNotice: direct.EndpointNotice{Endpoint: l.Endpoint, Service: l.Service, Zone: l.Zone}})
	}
	list[i].Limit = &l
	return list
}
