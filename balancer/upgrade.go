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

// upgrade connects the caller's connection to the endpoint's for a session that lasts until either
// side ends it.
func (b *Balancer) upgrade(x *exchange, res *upstream.Result) error {
	endpointConn, ok := res.Response.Body.(io.ReadWriteCloser)
	if !ok {
		res.Close()
		return refusal{verdict: verdict.MayHaveRun, reason: reason.UpgradeFailed, message: "the endpoint's connection cannot be written to"}
	}
	defer res.Close()
	if x.reading.finish(); !x.reading.isComplete() {
		return refusal{verdict: verdict.MayHaveRun, reason: reason.UpgradeFailed, message: "the endpoint answered before the end of the body"}
	}
	callerConn, buffered, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		return refusal{verdict: verdict.MayHaveRun, reason: reason.UpgradeFailed, message: err.Error()}
	}
	b.sessions.Add(1)
	defer b.sessions.Done()
	defer func() { _ = callerConn.Close() }() // the session has ended; a close error changes nothing
	response := *res.Response
	response.Body = nil
	response.Header.Set(verdict.Header, verdict.Ran.String())
	x.verdict, x.status = verdict.Ran, response.StatusCode
	if err := response.Write(buffered); err != nil {
		return nil // the caller has disconnected; no response can be sent
	}
	if err := buffered.Flush(); err != nil {
		return nil
	}
	copyBothWays(callerConn, buffered, endpointConn)
	return nil
}

// copyBothWays copies in both directions. When one direction ends, that end is forwarded and the
// other direction continues. An error ends both. buffered reads what callerConn sends.
func copyBothWays(callerConn net.Conn, buffered io.Reader, endpointConn io.ReadWriteCloser) {
	var wg sync.WaitGroup
	wg.Go(func() {
		_, err := io.Copy(endpointConn, buffered)
		if err == nil {
			err = closeWrite(endpointConn)
		}
		if err != nil {
			_ = endpointConn.Close() // ends the other direction, too
		}
	})
	_, err := io.Copy(callerConn, endpointConn)
	if err == nil {
		err = closeWrite(callerConn)
	}
	if err != nil { // closing ends the other direction, too
		_ = callerConn.Close()
		_ = endpointConn.Close()
	}
	wg.Wait()
}

// errNoHalfClose means that a connection cannot close its write side alone.
var errNoHalfClose = errors.New("balancer: connection cannot close its write side alone")

// closeWrite closes the write side of a connection, or returns errNoHalfClose.
func closeWrite(c any) error {
	if h, ok := c.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return errNoHalfClose
}
