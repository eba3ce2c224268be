package relay

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/bootstrap"
	"github.com/lotuswing/lotuswing/coord/position"
	"github.com/lotuswing/lotuswing/internal/bootclock"
	"github.com/lotuswing/lotuswing/link"
)

// ChangesArgs asks a relay for the changes after a position. The relay answers after Wait at the
// latest. Package gob sends the names of the fields.
type ChangesArgs struct {
	After   uint64
	Wait    time.Duration
	From    string // address of the caller; empty if its version does not send it
	Patient bool   // an unsettled relay delays its answer until it is settled or knows another balancer to ask, at most for Wait
	InTouch bool   // the caller watches the store itself and is settled
	// TakesNotes requests the notes after index NotesAfter in the log of the process that NotesLife
	// identifies.
	TakesNotes bool
	NotesLife  uint64
	NotesAfter uint64
	// PathsLost says that the caller has lost its paths to all endpoints, and carries no connections.
	PathsLost bool
}

// ChangesReply is the answer to ChangesArgs.
type ChangesReply struct {
	Settled   bool   // the relay watches the store and is up to date
	Whole     bool   // the records are the full content
	At        uint64 // revision up to which the relay knows all changes
	Packed    []byte // records of the store, encoded by packer; empty for none
	StoreLost bool   // the relay is not settled because the store does not answer it
	Askers    int    // number of balancers that asked the relay lately
	Instead   string // if the relay is not settled: address of a balancer to ask instead; empty for none
	// The requested notes, whether the relay is settled or not, with the life of the log and the
	// index of its last note.
	Notes     []Note
	NotesLife uint64
	NotesAt   uint64
	// ConfirmedAge is how long ago the relay last knew all that the store had accepted, and ChangesAge
	// for how long the store may have had the newest of the records; 0 if that is unknown.
	ConfirmedAge time.Duration
	ChangesAge   time.Duration
}

// methodChanges is the net/rpc name of rpcService.Changes.
const methodChanges = link.Service + ".Changes"

// methodCopy is the net/rpc name of rpcService.Copy.
const methodCopy = link.Service + ".Copy"

// maxWait bounds how long a call waits for changes, whatever its Wait is.
const maxWait = 30 * time.Second

// rpcService holds the methods that other balancers call through net/rpc.
type rpcService struct{ group *Group }

// Changes waits for changes or notes and returns them.
func (r *rpcService) Changes(args ChangesArgs, reply *ChangesReply) error {
	err := r.changes(args, reply)
	if args.TakesNotes {
		notes, at := r.group.notes.since(args.notesPosition(), "", bootclock.Now())
		reply.Notes, reply.NotesLife, reply.NotesAt = notes, at.life, at.index
	}
	return err
}

// notesPosition returns the position after which notes are requested.
func (args ChangesArgs) notesPosition() logPosition {
	return logPosition{life: args.NotesLife, index: args.NotesAfter}
}

// changes waits for changes or notes and returns the changes.
func (r *rpcService) changes(args ChangesArgs, reply *ChangesReply) error {
	g := r.group
	g.cfg.Suspensions.Check()
	g.recordAsker(args, time.Now())
	wait := min(args.Wait, maxWait)
	hasNotes := func() bool { return args.TakesNotes && g.notes.hasAfter(args.notesPosition()) }
	if args.Patient {
		g.waitSettled(args, wait, hasNotes)
	}
	if !g.follower.UpToDate(time.Now()) {
		return g.replyUnsettled(args, reply)
	}
	g.replica.waitAfter(context.Background(), args.After, wait, func() bool { return hasNotes() || !g.follower.UpToDate(time.Now()) })
	g.cfg.Suspensions.Check() // the VM may have been suspended during the wait
	if known, _ := g.replica.revision(); position.Restored(known, args.After) {
		g.follower.ReadAgain() // the caller has heard that the store was restored, and this balancer has not
		return g.replyUnsettled(args, reply)
	}
	if !g.follower.UpToDate(time.Now()) {
		return g.replyUnsettled(args, reply)
	}
	reply.Settled = true
	reply.ConfirmedAge = ageOf(g.follower.Confirmed(), time.Now())
	return g.addChanges(args.After, reply)
}

// replyUnsettled replies that this balancer is not settled, with the changes that it knows nevertheless: it may
// have heard of them from a balancer that the caller does not reach.
func (g *Group) replyUnsettled(args ChangesArgs, reply *ChangesReply) error {
	*reply = g.unsettledReply(time.Now())
	if args.After == 0 {
		return nil // the caller is still looking for its first copy
	}
	return g.addChanges(args.After, reply)
}

// addChanges adds the changes after a position to a reply.
func (g *Group) addChanges(after uint64, reply *ChangesReply) error {
	d := g.replica.since(after)
	packed, err := g.packer.pack(d)
	if err != nil {
		return err
	}
	reply.Whole, reply.At, reply.Packed, reply.ChangesAge = d.whole, d.knownRevision, packed, ageOf(d.since, time.Now())
	return nil
}

// ageOf returns the time from then to now, 0 if then is zero.
func ageOf(then, now time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return max(1, now.Sub(then))
}

// timeOf returns the time that was age before now, the zero time for an age of 0.
func timeOf(age time.Duration, now time.Time) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return now.Add(-age)
}

// Copy returns the full content, or a part of it, to a balancer that starts.
func (r *rpcService) Copy(args bootstrap.CopyArgs, reply *bootstrap.CopyReply) error {
	answer, err := r.group.copyServer.Answer(context.Background(), args)
	if err != nil {
		return err
	}
	*reply = answer
	return nil
}
