package upstream

import (
	"errors"
	"net/http"
	"net/textproto"
	"sync"
)

// maxInformational bounds the 1xx responses that an endpoint may send before its response. Where they are passed
// on, net/http bounds neither their number nor their size.
const maxInformational = 16

var (
	errTooManyInformational = errors.New("upstream: too many informational responses")
	errBadInformational     = errors.New("upstream: informational response with an invalid header")
	errAttemptEnded         = errors.New("upstream: informational response after the end of the attempt")
)

// informational passes the 1xx responses of one attempt on until the attempt ends: net/http goes on reading
// while it gives up an attempt, and the caller may be getting another response by then.
type informational struct {
	mu      sync.Mutex
	forward func(code int, header http.Header)
	count   int
	ended   bool
}

// pass passes a response on. It is the Got1xxResponse hook of httptrace; an error closes the connection.
func (i *informational) pass(code int, header textproto.MIMEHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count++
	switch {
	case i.ended:
		return errAttemptEnded
	case i.count > maxInformational:
		return errTooManyInformational
	case fieldFault(http.Header(header)) != "":
		return errBadInformational
	}
	i.forward(code, http.Header(header))
	return nil
}

// end ends the attempt.
func (i *informational) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
}
