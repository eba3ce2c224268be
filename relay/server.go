package relay

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/bootstrap"
	"github.com/lotuswing/lotuswing/internal/bootclock"
	"github.com/lotuswing/lotuswing/link"
)

// ChangesArgs asks a relay for what changed after a revision. It answers after
// Wait at the latest. Package gob sends the names of the fields.
type ChangesArgs struct {
	After   uint64
	Wait    time.Duration
	From    string // address of the one that asks; empty from those that do not tell it
	Patient bool   // a relay that is not settled answers when it is again, or after Wait
	InTouch bool   // the one that asks follows the store itself, and is settled
	// TakesNotes: notes are wanted, from after a place in the log of a life of the relay.
	TakesNotes bool
	NotesLife  uint64
	NotesAfter uint64
}

// ChangesReply tells it.
type ChangesReply struct {
	Settled   bool   // the relay follows the store and is up to date
	Whole     bool   // the records are all there are
	At        uint64 // revision up to which the relay knows all changes
	Packed    []byte // records of the store, see packer; empty for none
	StoreLost bool   // the relay is not settled because the store does not answer it
	Askers    int    // how many balancers asked it lately
	Instead   string // the address of one of these that is in touch with the store; empty for none
	// Notes that were asked for, settled or not, with the life of the log and the place of
	// the last one.
	Notes     []Note
	NotesLife uint64
	NotesAt   uint64
}

// methodChanges is the name under which net/rpc knows receiver.Changes.
const methodChanges = link.Service + ".Changes"

// methodCopy is the name under which net/rpc knows receiver.Copy.
const methodCopy = link.Service + ".Copy"

// maxWait bounds how long a call waits for changes, whatever it asks for.
const maxWait = 30 * time.Second

// receiver answers other balancers, in the form that net/rpc asks for.
type receiver struct{ group *Group }

// Changes waits for changes and notes and tells them.
func (r *receiver) Changes(args ChangesArgs, reply *ChangesReply) error {
	err := r.changes(args, reply)
	if args.TakesNotes {
		notes, at := r.group.notes.since(args.notesPlace(), "", bootclock.Now())
		reply.Notes, reply.NotesLife, reply.NotesAt = notes, at.life, at.at
	}
	return err
}

// notesPlace returns the place after which notes are wanted.
func (a ChangesArgs) notesPlace() place { return place{life: a.NotesLife, at: a.NotesAfter} }

// changes waits for changes, or for notes, and tells the changes.
func (r *receiver) changes(args ChangesArgs, reply *ChangesReply) error {
	g := r.group
	g.cfg.Suspensions.Check()
	g.noteAsker(args, time.Now())
	wait := min(args.Wait, maxWait)
	news := func() bool { return args.TakesNotes && g.notes.after(args.notesPlace()) }
	if args.Patient {
		g.waitSettled(args.From, wait, news)
	}
	if !g.follower.Settled(time.Now()) {
		*reply = g.unsettledReply(time.Now())
		return nil
	}
	g.replica.waitAfter(context.Background(), args.After, wait, func() bool { return news() || !g.follower.Settled(time.Now()) })
	g.cfg.Suspensions.Check() // meanwhile
	d := g.replica.since(args.After)
	packed, err := g.packer.pack(d)
	if err != nil {
		return err
	}
	*reply = ChangesReply{Settled: g.follower.Settled(time.Now()), Whole: d.whole, At: d.at, Packed: packed}
	if !reply.Settled {
		*reply = g.unsettledReply(time.Now())
	}
	return nil
}

// Copy hands everything that is known to a balancer that starts.
func (r *receiver) Copy(args bootstrap.CopyArgs, reply *bootstrap.CopyReply) error {
	answer, err := r.group.giver.Answer(context.Background(), args)
	if err != nil {
		return err
	}
	*reply = answer
	return nil
}
