package detour

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/lotuswing/lotuswing/coord/reach"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/upstream"
)

const (
	// carriersTTL is how long a list of carriers is used before a new one is fetched, and
	// failedCarriersTTL the same after none of them opened a connection.
	carriersTTL       = 3 * time.Second
	failedCarriersTTL = 300 * time.Millisecond
	// findTimeout limits the search for carriers.
	findTimeout = 150 * time.Millisecond
	// maxCarriersAsked is the number of carriers that are asked for one connection.
	maxCarriersAsked = 4
	// nextCarrierAfter is the time after which another carrier is asked beside one that has not
	// answered. It is a few round trips to another zone.
	nextCarrierAfter = 20 * time.Millisecond
)

// ErrNoCarrier means that no balancer carries a connection to an endpoint.
var ErrNoCarrier = errors.New("detour: no balancer carries the connection")

// opening is one request to a carrier to open a connection.
type opening struct {
	carrier string
	conn    *Conn // nil unless the carrier accepted
	answer  reach.Answer
	err     error
}

// DialDetour opens a connection to an endpoint through a carrier. It asks several carriers, the next
// one as soon as one refuses, or a moment after it was asked and has not answered.
func (t *Table) DialDetour(ctx context.Context, _, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	order := t.carrierOrder(ctx)
	order = order[:min(maxCarriersAsked, len(order))]
	answers := make(chan opening, len(order))
	var failures error
	for asked, pending := 0, 0; asked < len(order) || pending > 0; {
		var next <-chan time.Time
		if asked < len(order) {
			go t.open(ctx, order[asked], addr, answers)
			asked, pending = asked+1, pending+1
			next = time.After(nextCarrierAfter)
		}
		select {
		case <-next:
			continue
		case o := <-answers:
			pending--
			t.recordAnswer(o)
			if o.conn == nil {
				failures = errors.Join(failures, o.err)
				continue
			}
			t.noCarrier.Store(false)
			t.opened.Inc(1)
			go t.closeLate(answers, pending)
			return o.conn, nil
		case <-ctx.Done():
			go t.closeLate(answers, pending)
			t.failed.Inc(1)
			return nil, fmt.Errorf("%w: %d asked: %w", ErrNoCarrier, asked, errors.Join(failures, ctx.Err()))
		}
	}
	t.noCarrier.Store(true)
	t.failed.Inc(1)
	return nil, fmt.Errorf("%w: %d asked: %w", ErrNoCarrier, len(order), cmp.Or(failures, upstream.ErrNoCarrier))
}

// closeLate takes the remaining answers, closes what they opened, and notes that these carriers were
// late.
func (t *Table) closeLate(answers <-chan opening, pending int) {
	for range pending {
		o := <-answers
		if o.conn != nil {
			_ = o.conn.Close() // it was never used
		}
		t.recordAnswer(opening{carrier: o.carrier, answer: reach.Unreachable})
	}
}

// open asks a carrier to open a connection, and delivers its answer.
func (t *Table) open(ctx context.Context, carrier, addr string, answers chan<- opening) {
	o := opening{carrier: carrier, answer: reach.Silent}
	stream, err := t.cfg.Open(ctx, carrier)
	if err != nil {
		o.err = err
		answers <- o
		return
	}
	conn := &Conn{Conn: stream, reader: bufio.NewReader(stream), carrier: carrier, tunnel: fmt.Sprintf("%s-%d", t.cfg.ID, t.sequence.Add(1))}
	conn.onMark = func() { t.recordDraining(conn) }
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	var reply openReply
	o.err = writeLine(stream, openRequest{Endpoint: addr, From: t.cfg.ID, Tunnel: conn.tunnel, Draining: upstream.ObeysDraining(ctx)})
	if o.err == nil {
		o.err = readLine(conn.reader, &reply)
	}
	switch {
	case !stop(), o.err != nil:
		o.err = errors.Join(o.err, ctx.Err())
	case reply.Answer == reach.Unreachable:
		o.answer, o.err = reply.Answer, fmt.Errorf("%w: from %s", upstream.ErrUnreachable, carrier)
	case reply.Answer != reach.Accepted:
		o.answer, o.err = reply.Answer, fmt.Errorf("detour: %s answers %q", carrier, reply.Answer)
	default:
		o.answer, o.conn = reach.Accepted, conn
	}
	if o.conn == nil {
		_ = conn.Close() // nothing is read from it any more
	}
	answers <- o
}

// recordAnswer records how a carrier answered.
func (t *Table) recordAnswer(o opening) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.carriers = t.carriers.WithAnswer(o.carrier, o.answer, time.Now())
	if o.err != nil {
		t.cfg.Log.Debug("carrier did not open a connection", "carrier", o.carrier, "answer", string(o.answer), "error", o.err)
	}
}

// recordDraining records that the carrier of a connection is in a planned stop, as if it had refused one.
func (t *Table) recordDraining(c *Conn) {
	t.recordAnswer(opening{carrier: c.carrier, answer: reach.Stopping})
	t.cfg.Log.Debug("carrier is stopping", "carrier", c.carrier, "tunnel", c.tunnel)
}

// carrierOrder returns the carriers in the order in which they should be asked. It fetches a new list
// if the known one is old, and waits for it if none is known.
func (t *Table) carrierOrder(ctx context.Context) []string {
	ttl := carriersTTL
	if t.noCarrier.Load() {
		ttl = failedCarriersTTL
	}
	t.mu.Lock()
	if time.Since(t.carriers.Updated()) > ttl && t.finding == nil {
		t.finding = make(chan struct{})
		go t.findCarriers(t.finding)
	}
	found, known := t.finding, t.carriers.Len() > 0
	t.mu.Unlock()
	if !known && found != nil {
		pause.Until(ctx, found, findTimeout)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.carriers.Order(t.rng.Float64, time.Now())
}

// findCarriers fetches a list of carriers and closes done.
func (t *Table) findCarriers(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	list := t.cfg.Finder.Carriers(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.carriers = t.carriers.WithList(list, time.Now())
	t.finding = nil
	close(done)
}
