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
}

// TestFrames of all these, as a table.
func TestFrames(t *testing.T) {
	names := map[form]string{partial: "partial", simple: "simple", plain: "plain", opaque: "opaque"}
	var b strings.Builder
	for _, r := range requests {
		f := frameOf([]byte(r))
		fmt.Fprintf(&b, "%-7s %3d of %3d  %q\n", names[f.form], f.length, len(r), r)
	}
	golden.Assert(t, b.String(), "frames.golden")
}

// FuzzFrame compares frameOf with net/http's reader: where it knows an ending, that
// reader ends there too, and a simple request has no body.
func FuzzFrame(f *testing.F) {
	for _, r := range requests {
		f.Add([]byte(r))
	}
	f.Fuzz(func(t *testing.T, p []byte) {
		got := frameOf(p)
		if got.form != simple && got.form != plain || got.length > int64(len(p)) {
			return
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
		assert.Equal(t, used, got.length, "%q", p)
		if got.form == simple {
			assert.Equal(t, body, int64(0))
			assert.Equal(t, r.ContentLength, int64(0))
		}
	})
}
