package pipeline

import (
	"context"
	"errors"
)

// ErrGone is returned to a request whose connection has ended: nobody reads its
// response.
var ErrGone = errors.New("pipeline: connection ended")

// Place is a request's place among those of its connection. The zero value is that of
// a request that came in another way than through this package, which has its
// connection for itself.
type Place struct{ place place }

// Arrival says how a request came.
type Arrival struct {
	// Number is that of the request on its connection, from 1; 0 where this package does not split the
	// connection into requests.
	Number int
	// Behind says that another request of the connection was being served when this one was read.
	Behind bool
}

// place is a connection as net/http sees it.
type place interface {
	wait() error
	last() bool
	arrival() Arrival
}

type placeKey struct{}

// PlaceOf returns the place of the request with a context.
func PlaceOf(ctx context.Context) Place {
	p, _ := ctx.Value(placeKey{}).(place) // nil where it came in another way
	return Place{place: p}
}

// Wait waits until all requests before this one have their responses. It returns
// ErrGone if the connection ended before.
func (p Place) Wait() error {
	if p.place == nil {
		return nil
	}
	return p.place.wait()
}

// Arrival returns how the request came.
func (p Place) Arrival() Arrival {
	if p.place == nil {
		return Arrival{}
	}
	return p.place.arrival()
}

// Last seals the request's connection, and reports whether no request behind this one has been read
// whole. If so, none will be, and the response is to close the connection. It is to be asked in a planned
// stop (Server.BeginStop), at the request's turn and before the header of its response is written.
func (p Place) Last() bool { return p.place == nil || p.place.last() }
