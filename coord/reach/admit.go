package reach

// Load is what a carrier decides by about one more connection.
type Load struct {
	Carried    int  // connections that it carries
	MaxCarried int  // limit on these; 0 to carry none
	Stopping   bool // it is in a planned stop
	Listed     bool // it knows a usable endpoint at the address
	PathLost   bool // it reaches the endpoint only through a carrier itself
}

// Admit returns whether a carrier takes one more connection, before it opens one to the endpoint. A
// balancer whose own path is lost carries nothing, so that no connection passes two carriers.
func Admit(l Load) Answer {
	switch {
	case l.Stopping:
		return Stopping
	case !l.Listed:
		return Unlisted
	case l.PathLost:
		return PathLost
	case l.Carried >= l.MaxCarried:
		return Busy
	}
	return Accepted
}
