package contract

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// header is the first line of a trace.
type header struct {
	Format string `json:"format"`
	State  State  `json:"state"`
}

// traceFormat names the form of a trace; it changes with the ledger's rules.
const traceFormat = "lotuswing ledger trace 1"

// Recorder writes a trace: a line with the ledger's state, then a line for
// each step. The first error ends the recording.
type Recorder struct {
	enc *json.Encoder
	err error
}

// NewRecorder begins a trace of a ledger.
func NewRecorder(w io.Writer, l *Ledger) *Recorder {
	r := &Recorder{enc: json.NewEncoder(w)}
	r.err = r.enc.Encode(header{Format: traceFormat, State: l.State()})
	return r
}

// Record writes a step that has been applied, with its decisions.
func (r *Recorder) Record(s Step, decisions []Decision) {
	if r.err == nil {
		s.Decisions = decisions
		r.err = r.enc.Encode(s)
	}
}

// Err returns the error that ended the recording, if any.
func (r *Recorder) Err() error { return r.err }

// Replayed is a step of a trace with the decisions made again.
type Replayed struct {
	Line  int
	Step  Step
	Again []Decision
	Views []EndpointView // as they were before the step
}

// Same reports whether the decisions are those of the trace.
func (r Replayed) Same() bool {
	return len(r.Again) == 0 && len(r.Step.Decisions) == 0 || reflect.DeepEqual(r.Again, r.Step.Decisions)
}

// Replay makes the decisions of a trace again and calls each for every step.
func Replay(in io.Reader, each func(Replayed)) error {
	dec := json.NewDecoder(in)
	var h header
	if err := dec.Decode(&h); err != nil {
		return fmt.Errorf("contract: line 1: %w", err)
	}
	if h.Format != traceFormat {
		return fmt.Errorf("contract: line 1: format is %q, want %q", h.Format, traceFormat)
	}
	l := Restore(h.State)
	for line := 2; ; line++ {
		var s Step
		err := dec.Decode(&s)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("contract: line %d: %w", line, err)
		}
		views := l.Views(s.At, s.Request)
		each(Replayed{Line: line, Step: s, Views: views, Again: l.Apply(s)})
	}
}

// EndpointView is how an endpoint looks to a request.
type EndpointView struct {
	VM       string
	State    string
	InFlight int
	Free     int
	Cost     float64
	Avoided  bool
}

// String returns the view in words.
func (v EndpointView) String() string {
	text := fmt.Sprintf("%s is %s, %d in flight, %d free, cost %.2f", v.VM, v.State, v.InFlight, v.Free, v.Cost)
	if v.Avoided {
		text += ", refused this request before"
	}
	return text
}

// Explain says in words what a step was and what was decided.
func (r Replayed) Explain() string {
	var b strings.Builder
	s := r.Step
	fmt.Fprintf(&b, "%s %s%s\n", s.At.UTC().Format("15:04:05.000"), s.Op, s.subject())
	if s.Op == OpAcquire {
		for _, v := range r.Views {
			fmt.Fprintf(&b, "    %s\n", v)
		}
	}
	for _, d := range r.Again {
		fmt.Fprintf(&b, "  -> %s\n", d)
	}
	return b.String()
}

// subject names what a step is about.
func (s Step) subject() string {
	switch s.Op {
	case OpAcquire:
		return fmt.Sprintf(" %s by %s in %s, %s, waits at most %v", s.Request.ID, s.Request.Holder, s.Request.Zone,
			s.Request.Class, s.Request.WaitUntil.Sub(s.At))
	case OpComplete:
		return fmt.Sprintf(" %s: %s after %v", s.ID, s.Outcome, s.Took)
	case OpCancel:
		return " " + s.ID
	case OpSign:
		return fmt.Sprintf(" of %s, cold %v", s.VM, s.Cold)
	case OpLeaving:
		return " " + s.VM
	case OpRenew:
		return fmt.Sprintf(" %d contracts of %s", len(s.Held), s.Holder)
	case OpDrop:
		return " " + s.Holder
	case OpEndpoints:
		return fmt.Sprintf(": %d, of which %d leave", len(s.Endpoints), len(s.Leaving))
	case OpTick, OpBegin:
		return ""
	}
	panic(fmt.Sprintf("contract: unreachable operation %q", s.Op))
}

// String says in words what was decided.
func (d Decision) String() string {
	switch d.Kind {
	case Granted:
		return fmt.Sprintf("%s granted on %s", d.Request, d.Endpoint.VM)
	case Queued:
		return fmt.Sprintf("%s waits", d.Request)
	case Refused:
		return fmt.Sprintf("%s refused with %s, come back after %v", d.Request, d.Reason, d.RetryAfter)
	}
	panic("contract: unreachable kind")
}
