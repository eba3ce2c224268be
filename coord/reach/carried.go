package reach

import "time"

// quietAfter is how long nothing was sent on a carried connection since the endpoint's last bytes
// before a planned stop takes it for unused. A balancer reuses connections for requests that must not be
// repeated only for a shorter time after a response.
const quietAfter = 300 * time.Millisecond

// Carried is what a carrier in a planned stop knows of one connection that it carries.
type Carried struct {
	Understands bool      // its user understands that it is draining, and closes it then
	Told        bool      // that was sent
	Answered    bool      // the last bytes came from the endpoint
	LastByte    time.Time // when bytes last passed
	Over        bool      // the time for carried connections is over
}

// CarriedAction is what a carrier in a planned stop does with a connection.
type CarriedAction uint8

// The actions.
const (
	Wait  CarriedAction = iota // something may be under way on it, and its user or its silence will end it
	Tell                       // tell its user that it is draining
	Close                      // nothing is under way on it
	Cut                        // close it although something may be under way on it
)

// InStop returns what a carrier in a planned stop does with a connection. Only the user knows when no
// response is outstanding. For one that does not understand, silence after the endpoint's bytes is taken
// for the end of a response.
func (c Carried) InStop(now time.Time) CarriedAction {
	switch {
	case !c.Understands && c.Answered && now.Sub(c.LastByte) >= quietAfter:
		return Close
	case c.Over:
		return Cut
	case c.Understands && !c.Told:
		return Tell
	}
	return Wait
}
