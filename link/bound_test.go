package link_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/lotuswing/lotuswing/link"
	"gotest.tools/v3/assert"
)

// gobLength returns a number as package gob writes it.
func gobLength(n uint32) []byte { return binary.BigEndian.AppendUint32([]byte{0xfc}, n) }

// typeDefinition returns a message that defines a struct type without fields, with a name of 4 KiB.
func typeDefinition(id int) []byte {
	body := append([]byte{0xfd, byte((2*id - 1) >> 16), byte((2*id - 1) >> 8), byte(2*id - 1)}, 3, 1, 1, 0xfe, 16, 0)
	body = append(append(body, bytes.Repeat([]byte("n"), 4<<10)...), 0, 0, 0)
	return append(gobLength(uint32(len(body))), body...)
}

// TestPeerWithoutEndIsCut guards against a peer whose bytes without end are kept, as those of a server that
// got the address of a balancer may be.
func TestPeerWithoutEndIsCut(t *testing.T) {
	zeros := make([]byte, 4<<10)
	for name, c := range map[string]struct {
		first []byte
		next  func(n int) []byte
	}{
		"a message of 3 GB":   {gobLength(3 << 30), func(int) []byte { return zeros }},
		"a message of 64 MiB": {gobLength(64 << 20), func(int) []byte { return zeros }},
		"no message":          {nil, func(int) []byte { return bytes.Repeat([]byte("\xf8\x00\x00\x00\x01"), 1<<10) }},
		"an answer of HTTP":   {[]byte("HTTP/1.1 200 OK\r\n\r\n"), func(int) []byte { return bytes.Repeat([]byte("x"), 4<<10) }},
		"types":               {nil, func(n int) []byte { return typeDefinition(70 + n) }},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			var sent atomic.Int64
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				for p, n := c.first, 0; ; p, n = c.next(n), n+1 {
					written, err := conn.Write(p)
					if sent.Add(int64(written)); err != nil || sent.Load() > 64<<20 {
						_ = conn.Close()
						return
					}
				}
			}()
			client := link.NewClient(nil)
			defer client.Close()
			err = client.Call(t.Context(), l.Addr().String(), link.Fetch, link.FetchArgs{Name: "n"}, &link.FetchReply{})
			assert.Assert(t, err != nil && !errors.Is(err, link.ErrSilent), "%v", err)
			<-ended
			assert.Assert(t, sent.Load() <= 16<<20, "%d bytes", sent.Load()) // what sockets hold, above the limits
		})
	}
}

// TestLongMessagesPass: what is within the bound passes in both directions, in whatever pieces it comes.
func TestLongMessagesPass(t *testing.T) {
	addr, _ := startServer(t, nil)
	client := link.NewClient(nil)
	defer client.Close()
	for _, size := range []int{0, 1, 127, 128, 4 << 10, 12 << 20, 1} {
		var reply link.FetchReply
		name := strings.Repeat("n", size)
		assert.NilError(t, client.Call(t.Context(), addr, link.Fetch, link.FetchArgs{Name: name}, &reply))
		assert.Assert(t, reply.Value.Name == name)
	}
}
