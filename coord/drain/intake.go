package drain

import "time"

// Intake is a way in which work reaches a process.
type Intake uint8

// The intakes.
const (
	Connection Intake = iota // a new connection of a caller
	Idle                     // a kept connection on which no request is being served
	Request                  // a request, the first or a later one of its connection, or a stream of HTTP/2
	Behind                   // bytes that a caller sends while a request of its connection is being served
	Session                  // an upgraded connection
	Carried                  // a connection to an endpoint that another balancer asks for
	PeerCall                 // a call of another balancer
	Duty                     // a duty for others, such as that of a relay or a home
	Attempt                  // an attempt of a request that was accepted, also after a wait or a failure
	Hedge                    // a second attempt beside a first one
	intakes
)

// String returns the name of the intake.
func (i Intake) String() string {
	return [...]string{"connection", "idle", "request", "behind", "session", "carried", "peer-call", "duty", "attempt", "hedge"}[i]
}

// Action is what becomes of what comes by an intake.
type Action uint8

// The actions.
const (
	Serve       Action = iota // as always
	ServeLast                 // it is served, and its connection ends with the response
	ServeInTime               // it is served if it ends before attempts are given up, otherwise refused
	Refuse                    // it is refused at once and does not run
	Close                     // its connection is closed, or it is not read
)

// String returns the name of the action.
func (a Action) String() string {
	return [...]string{"serve", "serve-last", "serve-in-time", "refuse", "close"}[a]
}

// actions says what becomes of each intake in each phase.
var actions = [intakes][Over + 1]Action{
	//          Running, Notice, Draining, Ending, Over
	Connection: {Serve, Serve, Close, Close, Close},
	Idle:       {Serve, Serve, Close, Close, Close},
	Request:    {Serve, ServeLast, ServeInTime, Refuse, Close},
	Behind:     {Serve, ServeLast, ServeLast, Close, Close}, // read until a response begins, which is told that others follow
	Session:    {Serve, Refuse, Refuse, Refuse, Close},
	Carried:    {Serve, Refuse, Refuse, Refuse, Close},
	PeerCall:   {Serve, Serve, Serve, Serve, Close},
	Duty:       {Serve, Refuse, Refuse, Refuse, Close},
	Attempt:    {Serve, ServeInTime, ServeInTime, Refuse, Close},
	Hedge:      {Serve, ServeInTime, Refuse, Refuse, Close},
}

// Action returns what becomes of what comes by an intake at a time.
func (p Plan) Action(i Intake, now time.Time) Action { return actions[i][p.Phase(now)] }
