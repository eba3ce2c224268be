package detour

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/lotuswing/lotuswing/coord/reach"
)

// openRequest asks a balancer to carry a connection to an endpoint. It is one line of JSON, the first
// one on a stream between balancers. The reply is another line; if it accepts, the bytes after it are
// those of the connection.
type openRequest struct {
	Endpoint string `json:"endpoint"` // address
	From     string `json:"from"`     // ID of the balancer that asks
	Tunnel   string `json:"tunnel"`   // identifies the connection in the logs of both balancers
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
