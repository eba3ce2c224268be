package upstream

import (
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status of a response (RFC 9110, section 15).
const maxStatus = 599

// headFault returns why the head of a response to a request with the given header is invalid, or switches to a
// protocol that the request did not ask for; "" if it is valid. Package net/http accepts any three characters
// that are a number as the status, and names of header fields with blanks, which it then does not take for
// those that they resemble.
func headFault(response *http.Response, request http.Header, http2 bool) string {
	status := response.StatusCode
	switch {
	case !http2 && response.ProtoMajor != 1:
		return fmt.Sprintf("protocol %.16q", response.Proto)
	case status == http.StatusSwitchingProtocols && !asksForProtocol(request, response.Header):
		return "a switch of protocols that nobody asked for"
	case status != http.StatusSwitchingProtocols && (status < http.StatusOK || status > maxStatus):
		return fmt.Sprintf("status %.16q", response.Status)
	}
	if why := fieldFault(response.Header); why != "" {
		return why
	}
	return fieldFault(response.Trailer) // as announced
}

// fieldFault returns why header fields are invalid; "" if they are valid.
func fieldFault(h http.Header) string {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Sprintf("a field named %.64q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Sprintf("an invalid value of %.64q", name)
			}
		}
	}
	return ""
}

// asksForProtocol reports whether a request asks for each protocol that a response switches to.
func asksForProtocol(request, response http.Header) bool {
	asked := map[string]bool{}
	for protocol := range protocols(request) {
		asked[protocol] = true
	}
	switched := false
	for protocol := range protocols(response) {
		if !asked[protocol] {
			return false
		}
		switched = true
	}
	return switched
}

// protocols yields the protocols of the Upgrade headers, in lower case.
func protocols(h http.Header) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for _, value := range h.Values("Upgrade") {
			for part := range strings.SplitSeq(value, ",") {
				if protocol := strings.ToLower(strings.TrimSpace(part)); protocol != "" && !yield(protocol) {
					return
				}
			}
		}
	}
}
