package balancer

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// upgradeProtocol returns the protocol that a message asks to switch to; empty for none.
func upgradeProtocol(h http.Header) string {
	for _, value := range h.Values("Connection") {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "upgrade") {
				return h.Get("Upgrade")
			}
		}
	}
	return ""
}

// removeHopByHopHeaders deletes hop-by-hop headers, including those named in the Connection
// header.
func removeHopByHopHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for token := range strings.SplitSeq(value, ",") {
			if name := textproto.TrimString(token); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// prepareHeaders adapts the caller's headers for the endpoint. If exposeCaller is set, it adds the
// caller's address.
func prepareHeaders(r *http.Request, exposeCaller bool) {
	upgrade := upgradeProtocol(r.Header)
	trailers := strings.Contains(strings.ToLower(r.Header.Get("Te")), "trailers")
	removeHopByHopHeaders(r.Header)
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
	if exposeCaller {
		setForwarded(r)
	}
}

// setForwarded adds the caller's address in the Forwarded header (RFC 7239) and the older
// X-Forwarded headers.
func setForwarded(r *http.Request) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return // the remote address has no host and port, as on a Unix socket
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
