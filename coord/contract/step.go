package contract

import (
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// Op names what is done to a ledger.
type Op string

// The operations.
const (
	OpBegin     Op = "begin"     // this balancer has just become the home
	OpEndpoints Op = "endpoints" // the list of endpoints has changed
	OpLeaving   Op = "leaving"   // an endpoint is going away
	OpSign      Op = "sign"      // an endpoint said that it stays
	OpAcquire   Op = "acquire"
	OpComplete  Op = "complete"
	OpBackoff   Op = "backoff" // an endpoint wants no requests for a while
	OpCancel    Op = "cancel"
	OpRenew     Op = "renew" // contracts in use are extended, unknown ones adopted
	OpTick      Op = "tick"
	OpDrop      Op = "drop" // a holder is gone
)

// Held is a contract in use, as its holder reports it.
type Held struct {
	ID    string          `json:"id"`
	VM    string          `json:"vm"`
	Class placement.Class `json:"class"`
}

// Step is one operation on a ledger with its time and, in a trace, the
// decisions that it led to. Fields that an operation does not use are zero.
type Step struct {
	At        time.Time            `json:"at"`
	Op        Op                   `json:"op"`
	Endpoints []placement.Endpoint `json:"endpoints,omitempty"`
	Leaving   []string             `json:"leaving,omitempty"` // of the endpoints
	VM        string               `json:"vm,omitempty"`
	Cold      bool                 `json:"cold,omitempty"`
	Request   Request              `json:"request,omitzero"`
	ID        string               `json:"id,omitempty"`
	Outcome   placement.Outcome    `json:"outcome,omitempty"`
	Took      time.Duration        `json:"took,omitempty"`
	For       time.Duration        `json:"for,omitempty"` // of a backoff
	Holder    string               `json:"holder,omitempty"`
	Held      []Held               `json:"held,omitempty"`
	Decisions []Decision           `json:"decisions,omitempty"`
}

// Apply does what a step says and returns the decisions.
func (l *Ledger) Apply(s Step) []Decision {
	switch s.Op {
	case OpBegin:
		l.Begin(s.At)
		return nil
	case OpEndpoints:
		leaving := map[string]bool{}
		for _, vm := range s.Leaving {
			leaving[vm] = true
		}
		return l.SetEndpoints(s.At, s.Endpoints, func(vm string) bool { return leaving[vm] })
	case OpLeaving:
		l.Leaving(s.VM)
		return nil
	case OpSign:
		return l.Sign(s.At, s.VM, s.Cold)
	case OpAcquire:
		return l.Acquire(s.At, s.Request)
	case OpComplete:
		return l.Complete(s.At, s.ID, s.Outcome, s.Took)
	case OpBackoff:
		l.Backoff(s.At, s.VM, s.For)
		return nil
	case OpCancel:
		return l.Cancel(s.At, s.ID)
	case OpRenew:
		for _, h := range s.Held {
			l.Adopt(s.At, s.Holder, h.ID, h.VM, h.Class)
			l.Renew(s.At, []string{h.ID})
		}
		return nil
	case OpTick:
		return l.Tick(s.At)
	case OpDrop:
		return l.DropHolder(s.At, s.Holder)
	}
	panic(fmt.Sprintf("contract: unreachable operation %q", s.Op))
}
