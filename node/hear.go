package node

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/leaving"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
)

// ObserveResponse takes what the answer to an attempt says of its endpoint, as soon as its head is
// there.
func (n *Node) ObserveResponse(g placement.Grant, r upstream.Report) {
	n.hear(tenant.ServiceName(g.Service), g.Endpoint.VM, r, leaving.Answer)
	n.local.hear(g, r)
}

// hear takes what any answer says of the endpoint itself.
func (n *Node) hear(service, vm string, r upstream.Report, from leaving.Source) {
	if r.IsEmpty() {
		return
	}
	if r.Admission.Leaving {
		n.MarkLeaving(leaving.Mark{VM: vm, Source: from})
	}
	if r.Admission.Backoff > 0 {
		n.log.Info("endpoint wants no requests", "id", vm, "service", service, "for", r.Admission.Backoff.String(), "from", string(from))
	}
}

// StillAccepts reports whether the endpoint of a grant still may get the request.
func (n *Node) StillAccepts(g placement.Grant, now time.Time) bool {
	return admission.AcceptsChosen(!n.snapshot.Load().leaving.Has(g.Endpoint.VM), n.local.admission(g.Endpoint.VM), now)
}
