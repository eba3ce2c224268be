package pipeline

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// requests are beginnings of a connection, as callers and attackers send them.
var requests = []string{
	"GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
	"HEAD /a?b=c HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\n",
	"",
	"GET /a HTTP/1.0\r\nHost: x\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
	"POST /a HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
	"GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc",
	"GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: \r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
	"GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\n Transfer-Encoding: chunked\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\nTransfer-Encoding: chunked\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\rTransfer-Encoding: chunked\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: b\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
	"GET http://x/a HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET  /a HTTP/1.1\r\nHost: x\r\n\r\n",
	"get /a HTTP/1.1\r\nHost: x\r\n\r\n",
	"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	"\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /a\x00 HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /a HTTP/1.1\r\nHost: x\r\nA: \x00\r\n\r\n",
	"GET /a HTTP/1.1\r\nno colon\r\n\r\n",
	chunkedHead + "4\r\nbody\r\n00a;x=\"y\"\r\n0123456789\r\n0\r\n\r\nGET",
	chunkedHead + "0;e\r\nA: b\r\nC:\r\n\r\nGET",
	chunkedHead + "4\r\nbody\r\n0\r\n",
	chunkedHead + "4\nbody\r\n0\r\n\r\n",
	chunkedHead + "4 \r\nbody\r\n0\r\n\r\n",
	chunkedHead + "+4\r\nbody\r\n0\r\n\r\n",
	chunkedHead + "\r\nbody\r\n0\r\n\r\n",
	chunkedHead + "4\r\nbody1\r\n0\r\n\r\n",
	chunkedHead + "0\r\n A: b\r\n\r\n",
	chunkedHead + "0\r\nA : b\r\n\r\n",
	chunkedHead + "0\r\nA: b\n\r\n",
	chunkedHead + "0\r\n: b\r\n\r\n",
	chunkedHead + "fffffffffff\r\n",
	chunkedHead + "0;" + strings.Repeat("e", 1<<10) + "\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chun\u212aed\r\n\r\n0\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
	"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nExpect: 100-continue\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: x\r\nExpect: more\r\n\r\n",
}

// chunkedHead is a header in front of a chunked body.
const chunkedHead = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"

// bodyOf says where a request ends whose body is chunked.
func bodyOf(f frame, p []byte) string {
	next := reader{rest: f.length, chunks: f.body()}
	length, ok := next.own(p)
	switch {
	case !f.chunked:
		return ""
	case !ok:
		return " (chunked, opaque)"
	case next.inBody():
		return " (chunked, partial)"
	}
	return fmt.Sprintf(" (chunked, ends at %d)", length)
}

// TestFrames of all these, as a table.
func TestFrames(t *testing.T) {
	names := map[form]string{partial: "partial", simple: "simple", plain: "plain", opaque: "opaque"}
	var b strings.Builder
	for _, r := range requests {
		f := frameOf([]byte(r))
		fmt.Fprintf(&b, "%-7s %3d of %3d  %q%s\n", names[f.form], f.length, len(r), r, bodyOf(f, []byte(r)))
	}
	golden.Assert(t, b.String(), "frames.golden")
}

// FuzzFrame compares frameOf with net/http's reader: where it knows an ending, that
// reader ends there too, and a simple request has no body. Before that end, it never asks for bytes behind
// it.
func FuzzFrame(f *testing.F) {
	for _, r := range requests {
		f.Add([]byte(r))
	}
	f.Fuzz(func(t *testing.T, p []byte) {
		got := frameOf(p)
		next := reader{rest: got.length, chunks: got.body()}
		length, ok := next.own(p)
		if got.form != simple && got.form != plain || !ok || next.inBody() {
			return
		}
		next = reader{rest: got.length, chunks: got.body()}
		for n := range length {
			assert.Assert(t, next.rest+next.chunks.need() <= int64(length-n), "%q at %d", p, n)
			_, ok := next.own(p[n : n+1])
			assert.Assert(t, ok)
		}
		rest := bytes.NewReader(p)
		in := bufio.NewReader(rest)
		r, err := http.ReadRequest(in)
		if err != nil {
			return // net/http refuses it and reads nothing more
		}
		body, err := io.Copy(io.Discard, r.Body)
		assert.NilError(t, err)
		used := int64(len(p)) - int64(rest.Len()) - int64(in.Buffered())
		assert.Equal(t, used, int64(length), "%q", p)
		if got.form == simple {
			assert.Equal(t, body, int64(0))
			assert.Equal(t, r.ContentLength, int64(0))
		}
	})
}
