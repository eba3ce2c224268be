package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// Endpoints send invalid responses or load reports that cannot be true, and versions of the
// configuration have a part that cannot be used. These faults strike beside the others, drawn from numbers of
// their own.

// mostOdd is how long an endpoint is odd at most.
const mostOdd = 1500 * time.Millisecond

// oddAnswers are sent in place of the answer of a request that ran; {id} stands for the request's ID. What follows
// the end of each is a close of the connection.
var oddAnswers = []string{
	"HTTP/1.1 000 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\nodd",
	"HTTP/1.1 +20 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\nodd",
	"HTTP/1.1 999 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\nodd",
	"HTTP/1.1 101 Switching Protocols\r\nRequest-Id: {id}\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
	"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length : 3\r\n\r\nodd and more",
	"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nX Y: z\r\nContent-Length: 3\r\n\r\nodd",
	"HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\nodd",
	"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Sig",
	"",
}

// oddLoads are values of the load report that cannot be true.
var oddLoads = []string{"0,0,4294967295,100", "0,0,9223372036854775807,100", "0,0,100000000", "9223372036854775807,9223372036854775807,3,100", "0,0,3,9223372036854775807"}

// oddResources are parts of a configuration that cannot be used, apart from the first.
var oddResources = []string{
	`{"resourceType":"wishes","metadata":{"name":"odd"},"spec":{}}`,
	`{"resourceType":"routes","metadata":{"name":"odd"},"spec":"odd"}`,
	`{"resourceType":"routes","metadata":{"name":"odd"},"spec":{"host":"odd.example","pathPrefix":"/odd/","service":"nobody","timeoutMs":1}}`,
	`{"resourceType":"services","metadata":{"name":"odd"},"spec":[]}`,
	`17`,
}

// strikeOdd lets endpoints and the configuration be odd at times, a mean gap apart, until ctx ends.
func (w *world) strikeOdd(ctx context.Context, gap time.Duration, rng *rand.Rand, report func(string)) {
	var striking sync.WaitGroup
	defer striking.Wait()
	rest := func() { pause.For(ctx, time.Duration(rng.Int64N(int64(2*gap)))) }
	for rest(); ctx.Err() == nil; rest() {
		length := time.Duration(rng.Int64N(int64(mostOdd)))
		e := w.drawLimited(rng)
		switch kind := rng.IntN(3); kind {
		case 0:
			report("odd part of a configuration")
			w.store.SetExtraResource(oddResources[rng.IntN(len(oddResources))])
			w.publishAgain()
		case 1:
			report("odd load report")
			load := oddLoads[rng.IntN(len(oddLoads))]
			striking.Go(func() {
				e.server.Set(func(b *platformtest.Behavior) { b.Load = load })
				pause.For(ctx, length)
				e.server.Set(func(b *platformtest.Behavior) { b.Load = "" })
			})
		default:
			report("odd answer")
			text := oddAnswers[rng.IntN(len(oddAnswers))]
			striking.Go(func() {
				e.server.Set(func(b *platformtest.Behavior) { b.RawAnswer = &text })
				pause.For(ctx, length)
				e.server.Set(func(b *platformtest.Behavior) { b.RawAnswer = nil })
			})
		}
	}
}

// checkStatus checks that an answer has the status of a final one: callers ask for no change of protocols.
func (l *ledger) checkStatus(r *sentRequest, status int) {
	if status < 200 || status > 599 {
		l.broken(OwnAnswer, r.id, "the answer has the status %d", status)
	}
}
