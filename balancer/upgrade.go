package balancer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/upstream"
)

// upgrade joins the caller's connection with the endpoint's, for a long
// session that lasts until either side ends it.
func (b *Balancer) upgrade(x *exchange, res *upstream.Result) error {
	back, ok := res.Response.Body.(io.ReadWriteCloser)
	if !ok {
		res.Close()
		return refusal{verdict: verdict.MayHaveRun, reason: reason.UpgradeFailed, message: "the endpoint's connection cannot be written to"}
	}
	defer res.Close()
	front, buffered, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		return refusal{verdict: verdict.MayHaveRun, reason: reason.UpgradeFailed, message: err.Error()}
	}
	b.sessions.Add(1)
	defer b.sessions.Done()
	defer func() { _ = front.Close() }() // the session is over, however it ended
	response := *res.Response
	response.Body = nil
	response.Header.Set(verdict.Header, verdict.Ran.String())
	x.verdict, x.status = verdict.Ran, response.StatusCode
	if err := response.Write(buffered); err != nil {
		return nil // the caller is gone; there is nobody to answer
	}
	if err := buffered.Flush(); err != nil {
		return nil
	}
	join(front, buffered, back)
	return nil
}

// join copies in both directions. The end of one direction is passed on and
// the other goes on until its own end.
func join(front net.Conn, buffered io.Reader, back io.ReadWriteCloser) {
	var wg sync.WaitGroup
	wg.Go(func() {
		_, err := io.Copy(back, buffered)
		if err == nil {
			err = closeWrite(back)
		}
		if err != nil {
			_ = back.Close() // ends the other direction, too
		}
	})
	_, err := io.Copy(front, back)
	if err == nil {
		err = closeWrite(front)
	}
	if err != nil { // ends the other direction, too, whatever closing says
		_ = front.Close()
		_ = back.Close()
	}
	wg.Wait()
}

// errNoHalfClose: the connection cannot end one direction only.
var errNoHalfClose = errors.New("balancer: connection has no half close")

func closeWrite(c any) error {
	if h, ok := c.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return errNoHalfClose
}
