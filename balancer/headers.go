package balancer

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders belong to one connection (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// upgradeOf returns the protocol that a message asks to switch to, if any.
func upgradeOf(h http.Header) string {
	for _, value := range h.Values("Connection") {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "upgrade") {
				return h.Get("Upgrade")
			}
		}
	}
	return ""
}

// removeHopHeaders deletes the headers of one connection, those that the
// Connection header names included.
func removeHopHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for token := range strings.SplitSeq(value, ",") {
			if name := textproto.TrimString(token); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// prepareHeaders makes a caller's headers fit for the endpoint and, where
// tellCaller says so, tells it the caller's address.
func prepareHeaders(r *http.Request, tellCaller bool) {
	upgrade := upgradeOf(r.Header)
	trailers := strings.Contains(strings.ToLower(r.Header.Get("Te")), "trailers")
	removeHopHeaders(r.Header)
	if upgrade != "" {
		r.Header.Set("Connection", "Upgrade")
		r.Header.Set("Upgrade", upgrade)
	}
	if trailers {
		r.Header.Set("Te", "trailers")
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header.Set("User-Agent", "") // keeps the transport from adding its own
	}
	if tellCaller {
		setForwarded(r)
	}
}

// setForwarded adds the caller's address (RFC 7239 and the older X-Forwarded).
func setForwarded(r *http.Request) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return // the connection has no address, as a Unix socket's
	}
	if prior := r.Header.Values("X-Forwarded-For"); len(prior) > 0 {
		r.Header.Set("X-Forwarded-For", strings.Join(prior, ", ")+", "+host)
	} else {
		r.Header.Set("X-Forwarded-For", host)
	}
	r.Header.Set("X-Forwarded-Host", r.Host)
	r.Header.Set("X-Forwarded-Proto", "http")
	node := host
	if strings.Contains(host, ":") {
		node = "\"[" + host + "]\""
	}
	element := "for=" + node + ";proto=http"
	if prior := r.Header.Get("Forwarded"); prior != "" {
		element = prior + ", " + element
	}
	r.Header.Set("Forwarded", element)
}

// copyHeader adds all values of src to dst.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append(dst[name], values...)
	}
}
