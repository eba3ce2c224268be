package access

import (
	"errors"
	"net/http"
	"strings"
)

// AuthorizationHeader is the request header that carries a caller's key (RFC 6750).
const AuthorizationHeader = "Authorization"

// Challenge is the value of the header WWW-Authenticate in a response with status 401.
const Challenge = "Bearer"

// authScheme begins the value of the header, in any case (RFC 9110, section 11.1).
const authScheme = "bearer "

var (
	// ErrNoKey is returned for a request without a key.
	ErrNoKey = errors.New("no key was sent")
	// ErrMalformed is returned for a request whose Authorization header is not a single bearer
	// token. The error does not quote the header, which may still hold a key.
	ErrMalformed = errors.New("what was sent is no key: 'Authorization: Bearer KEY' belongs here, once")
)

// BearerToken returns the key that a request carries, or ErrNoKey or ErrMalformed. A request with
// two Authorization headers is ambiguous, and malformed.
func BearerToken(h http.Header) (string, error) {
	values := h.Values(AuthorizationHeader)
	if len(values) == 0 {
		return "", ErrNoKey
	}
	if len(values) > 1 {
		return "", ErrMalformed
	}
	value := values[0]
	if len(value) < len(authScheme) || !strings.EqualFold(value[:len(authScheme)], authScheme) {
		return "", ErrMalformed
	}
	key := strings.TrimLeft(value[len(authScheme):], " ")
	if !isToken(key) {
		return "", ErrMalformed
	}
	return key, nil
}
