package detour

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/reach"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMarkIsNoByteOfEndpoint: wherever the mark comes between frames, and however it is split over
// reads, the bytes of the endpoint are the same, and the mark is seen once.
func TestMarkIsNoByteOfEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bodies := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, maxFrame), 0, 4).Draw(t, "bodies")
		marked := rapid.IntRange(0, len(bodies)).Draw(t, "marked") // before this frame
		var wire, sent []byte
		for i := range len(bodies) + 1 {
			if i == marked {
				wire = binary.BigEndian.AppendUint16(wire, drainingMark)
			}
			if i < len(bodies) {
				wire = append(binary.BigEndian.AppendUint16(wire, uint16(len(bodies[i]))), bodies[i]...)
				sent = append(sent, bodies[i]...)
			}
		}
		wire = binary.BigEndian.AppendUint16(wire, endMark)
		var r io.Reader = bytes.NewReader(wire)
		if rapid.Bool().Draw(t, "split") {
			r = iotest.OneByteReader(r)
		}
		marks, told := 0, 0
		c := &Conn{reader: bufio.NewReader(r), onMark: func() { marks++ }}
		c.OnDraining(func() { told++ })
		got, err := io.ReadAll(c)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, sent))
		assert.Equal(t, marks, 1)
		assert.Equal(t, told, 1)
		c.OnDraining(func() { told++ })
		assert.Equal(t, told, 2)
	})
}

// TestCarrierThatDrainsIsAskedLast, like one that refuses a connection because of its stop.
func TestCarrierThatDrainsIsAskedLast(t *testing.T) {
	table := NewTable(Config{Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
	table.carriers = table.carriers.WithList([]reach.Carrier{{Addr: "a"}, {Addr: "b"}, {Addr: "c"}}, time.Now())
	wire := bytes.NewReader([]byte{0xff, 0xff, 0, 0})
	c := &Conn{reader: bufio.NewReader(wire), carrier: "b"}
	c.onMark = func() { table.recordDraining(c) }
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	for range 20 {
		assert.Equal(t, table.carriers.Order(rand.Float64, time.Now())[2], "b")
	}
}

// resetConn is a connection to an endpoint that resets it: the write of the request takes notice of that, and a read
// that is under way finds an end.
type resetConn struct {
	net.Conn
	written chan struct{}
}

func (c resetConn) Write([]byte) (int, error) {
	close(c.written)
	time.Sleep(10 * time.Millisecond)
	return 0, syscall.EPIPE
}

func (c resetConn) Read([]byte) (int, error) {
	<-c.written
	return 0, io.EOF
}

// TestResetOfCarriedConnectionIsNoEnd guards against a carrier that passes the reset of an endpoint on as the end of
// its response, which makes a body without a length look whole.
func TestResetOfCarriedConnectionIsNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner, other := net.Pipe()
		defer func() { _ = other.Close() }()
		s := NewServer(ServerConfig{
			Find: func(string, time.Time) (string, bool) { return "s", true }, PathLost: func(string) bool { return false },
			Dial: func(context.Context, string, string) (net.Conn, error) {
				return resetConn{inner, make(chan struct{})}, nil
			},
			MaxCarried: 1, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
		})
		user, carrier := net.Pipe()
		go s.Serve(carrier, bufio.NewReader(carrier))
		assert.NilError(t, writeLine(user, openRequest{Endpoint: "e", Tunnel: "t"}))
		r := bufio.NewReader(user)
		var reply openReply
		assert.NilError(t, readLine(r, &reply))
		assert.Equal(t, reply.Answer, reach.Accepted)
		_, err := user.Write([]byte("upload"))
		assert.NilError(t, err)
		_, err = io.ReadAll(&Conn{Conn: user, reader: r})
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}
