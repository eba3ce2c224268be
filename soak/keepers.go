package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/access"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/internal/pause"
)

// depths are how many requests callers that keep their connections have outstanding.
var depths = []int{1, 2, 4, 16, 1, 4}

const (
	keeperNumbers = 500 // of callers that keep connections, from here on
	keeperRedial  = 10 * time.Millisecond
	keeperRest    = 2 * stopNotice   // idle at most
	keptAnswer    = 3 * routeTimeout // longest wait for a response whose turn has come
	mostPayload   = 5000
	chunkSize     = 700
)

// mixes are what connections carry. Requests that must run once wait until those before them are
// answered, and then nothing is outstanding at an endpoint behind a response.
var mixes = [][]string{
	{readPrefix},
	{readPrefix, readPrefix, readPrefix, slowPrefix},
	{readPrefix, readPrefix, slowPrefix, filePrefix},
}

// keeper is a caller that keeps a connection in use until it ends. It has always as many
// requests outstanding as its depth. One with a depth of 1 pauses between them, at times for longer than
// the notice after a chunked body, with a slow request next.
type keeper struct {
	*caller
	depth  int
	next   int  // number of the next request
	rested bool // the connection was idle for long
}

// kept is a request outstanding on a kept connection.
type kept struct {
	*sentRequest
	payload string
	chunked bool
}

func newKeeper(i int, balancers []*balancer, l *ledger, rng *rand.Rand) *keeper {
	return &keeper{caller: newCaller(keeperNumbers+i, balancers, l, rng), depth: depths[i]}
}

// keepers returns the callers that keep connections, with numbers of their own.
func (w *world) keepers(seed uint64) []*keeper {
	all := make([]*keeper, len(depths))
	for i := range all {
		all[i] = newKeeper(i, w.balancers, w.sent, rand.New(rand.NewPCG(seed, math.MaxUint64-1000-uint64(i))))
		if w.teams != nil {
			all[i].team, all[i].key = commonTeam, func() string { return w.teams.key(commonTeam) }
		}
	}
	return all
}

// run keeps one connection after the other until ctx ends.
func (k *keeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		if b := k.choose(); b != nil {
			k.keep(ctx, b)
		}
		pause.For(ctx, keeperRedial)
	}
}

// keep uses a connection to a balancer until it ends, or until ctx ends and all is answered.
func (k *keeper) keep(ctx context.Context, b *balancer) {
	conn, err := net.DialTimeout("tcp", b.listen, routeTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // whatever it says
	in := bufio.NewReader(conn)
	mix := mixes[k.rng.IntN(len(mixes))]
	if k.rested = false; k.depth == 1 {
		mix = mixes[len(mixes)-1] // chunked bodies, too
	}
	var outstanding []kept
	open := true // it takes what is written
	for {
		for open && ctx.Err() == nil && len(outstanding) < k.depth {
			var r kept
			r, open = k.send(conn, b, mix)
			outstanding = append(outstanding, r)
		}
		if len(outstanding) == 0 {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(keptAnswer))
		outstanding[0].turn = time.Now()
		closed, ok := k.read(in, outstanding[0])
		if !ok || closed {
			k.endKept(outstanding[1:], closed)
			return
		}
		last := outstanding[0]
		outstanding = outstanding[1:]
		if k.depth == 1 {
			k.rest(ctx, last)
		}
	}
}

// rest pauses after a response.
func (k *keeper) rest(ctx context.Context, after kept) {
	longest := callerPause
	if k.rested = after.chunked && k.rng.IntN(2) == 0; k.rested {
		longest = keeperRest
	}
	pause.For(ctx, time.Duration(k.rng.Int64N(int64(longest))))
}

// send sends a request and reports whether the connection takes others.
func (k *keeper) send(conn net.Conn, b *balancer, mix []string) (kept, bool) {
	r, text := k.draw(b, mix)
	_ = conn.SetWriteDeadline(time.Now().Add(keptAnswer))
	_, err := io.WriteString(conn, text)
	return r, err == nil
}

// endKept notes the requests behind the last one that was read for.
func (k *keeper) endKept(behind []kept, unread bool) {
	for _, r := range behind {
		if unread {
			k.ledger.endUnread(r.sentRequest, true)
			continue
		}
		k.ledger.endLost(r.sentRequest, false, time.Now())
	}
}

// draw draws the next request and returns it with the bytes to send.
func (k *keeper) draw(b *balancer, mix []string) (kept, string) {
	r := kept{sentRequest: &sentRequest{
		id: fmt.Sprintf("c%d-%d", k.number, k.next), method: http.MethodGet, repeatable: true,
		kind: fmt.Sprintf("depth %d", k.depth), balancer: b.id, team: k.team, key: k.present(),
	}}
	prefix := mix[k.rng.IntN(len(mix))]
	if k.rested {
		prefix = slowPrefix
	}
	if prefix == filePrefix {
		r.method, r.repeatable = http.MethodPost, false
		r.payload = strings.Repeat("p", 1+k.rng.IntN(mostPayload))
		if r.chunked = k.rng.IntN(3) == 0; r.chunked {
			r.kind += ", chunked"
		}
	}
	r.path = fmt.Sprintf("%s%d?n=%d", prefix, k.number, k.next)
	k.next++
	text := write(r)
	r.at = time.Now()
	k.ledger.begin(r.sentRequest)
	return r, text
}

// write returns the bytes of a request.
func write(r kept) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n",
		r.method, r.path, host, dialect.RequestID, r.id, dialect.Timeout, dialect.FormatTimeout(routeTimeout))
	if r.key != "" {
		fmt.Fprintf(&text, "%s: %s%s\r\n", access.AuthorizationHeader, bearer, r.key)
	}
	switch {
	case r.chunked:
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := r.payload; rest != ""; rest = rest[min(chunkSize, len(rest)):] {
			part := rest[:min(chunkSize, len(rest))]
			fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
		}
		text.WriteString("0\r\n\r\n")
	case r.method == http.MethodPost:
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(r.payload), r.payload)
	default:
		text.WriteString("\r\n")
	}
	return text.String()
}

// read reads the next response, which belongs to r. It reports whether the response closes the
// connection and whether there was a whole one.
func (k *keeper) read(in *bufio.Reader, r kept) (closed, ok bool) {
	if _, err := in.Peek(1); err != nil {
		k.ledger.endLost(r.sentRequest, false, time.Now())
		return false, false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		k.ledger.endLost(r.sentRequest, true, time.Now())
		return false, false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		k.ledger.endLost(r.sentRequest, true, time.Now())
		return false, false
	}
	k.ledger.checkStatus(r.sentRequest, resp.StatusCode)
	if resp.StatusCode == http.StatusOK {
		k.ledger.checkAnswer(r.sentRequest, resp, string(body), r.payload)
	}
	failed := resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusGatewayTimeout
	r.mayHaveRun = failed && resp.Header.Get(verdict.Header) == verdict.MayHaveRun.String()
	k.ledger.end(r.sentRequest, resp.StatusCode, time.Now())
	return resp.Close, true
}
