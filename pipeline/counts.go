package pipeline

// Counts are the numbers of open connections of callers by what they do. Each is counted once.
type Counts struct {
	Idle      int // no request has been read that is without a response
	InService int // requests are being served, and others may be read
	Sealed    int // requests are being served, and no other one is read (Place.Last)
	Opaque    int // requests are being served, and package net/http reads the connection alone
	HTTP2     int
}

// Total returns the number of open connections.
func (c Counts) Total() int { return c.Idle + c.InService + c.Sealed + c.Opaque + c.HTTP2 }

// Counts returns the numbers of open connections.
func (s *Server) Counts() Counts {
	var n Counts
	if s.http2 != nil {
		n.HTTP2 = len(s.http2.conns.list())
	}
	for _, c := range s.conns.list() {
		c.count(&n)
	}
	return n
}

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.Counts().Total() }

// count counts the connection.
func (c *conn) count(n *Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isIdle():
		n.Idle++
	case c.opaque:
		n.Opaque++
	case c.sealed:
		n.Sealed++
	default:
		n.InService++
	}
}
