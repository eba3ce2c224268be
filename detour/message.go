package detour

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/lotuswing/lotuswing/coord/reach"
)

// The wire. A stream between balancers begins with a line of JSON, an openRequest, and its reply is
// another one, an openReply. If that accepts, the bytes after the request are those of the connection to
// the endpoint, as they are. The bytes after the reply are frames: a length of two bytes, the high one
// first, and as many bytes of the endpoint, at most maxFrame. Two lengths are marks, which no bytes
// follow: endMark and drainingMark. Fields that a receiver does not know are ignored.

const (
	// frameHeaderSize is the size of the length before the bytes of a frame. Without frames the end of a
	// carrier would look like the end of a response that has no length.
	frameHeaderSize = 2
	// maxFrame is the greatest length of a frame. Balancers of any version stay below drainingMark.
	maxFrame = 16<<10 - frameHeaderSize
	// endMark says that the endpoint has sent its last byte.
	endMark = 0
	// drainingMark says that the carrier is in a planned stop, so that the connection should be closed
	// once no response is outstanding. It is sent at most once, between two frames, and only to a
	// balancer whose openRequest has Draining.
	drainingMark = 0xffff
)

// openRequest asks a balancer to carry a connection to an endpoint.
type openRequest struct {
	Endpoint string `json:"endpoint"`           // address
	From     string `json:"from"`               // ID of the balancer that asks
	Tunnel   string `json:"tunnel"`             // identifies the connection in the logs of both balancers
	Draining bool   `json:"draining,omitempty"` // the sender understands drainingMark and closes the connection after it
}

// openReply is the reply to an openRequest.
type openReply struct {
	Answer reach.Answer `json:"answer"`
}

// errLineTooLong is returned for a line that does not fit the reader's buffer.
var errLineTooLong = errors.New("detour: line too long")

// writeLine writes a message as a line of JSON.
func writeLine(w io.Writer, message any) error {
	raw, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("detour: %w", err)
	}
	_, err = w.Write(append(raw, '\n'))
	return err
}

// readLine reads a message. The size of the reader's buffer bounds its length.
func readLine(r *bufio.Reader, message any) error {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return errLineTooLong
	}
	if err != nil {
		return fmt.Errorf("detour: %w", err)
	}
	if err := json.Unmarshal(line, message); err != nil {
		return fmt.Errorf("detour: %w", err)
	}
	return nil
}
