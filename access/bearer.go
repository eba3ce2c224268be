package access

import (
	"errors"
	"net/http"
	"strings"
)

// Header is the request header that carries a caller's key (RFC 6750).
const Header = "Authorization"

// Challenge is what a response of status 401 says in the header WWW-Authenticate.
const Challenge = "Bearer"

const (
	// scheme begins the header's value, in any case (RFC 9110, section 11.1).
	scheme = "bearer "
	// mostKeyBytes bounds a key: longer ones are refused before they are hashed.
	mostKeyBytes = 512
)

var (
	// ErrNoKey says that a request carries no key.
	ErrNoKey = errors.New("no key was sent")
	// ErrMalformed says that a request carries something else in place of a key. What that
	// is stays untold: it may be a key all the same.
	ErrMalformed = errors.New("what was sent is no key: 'Authorization: Bearer KEY' belongs here, once")
)

// Bearer returns the key that a request carries. A request with two of them might be read
// in two ways, and carries none.
func Bearer(h http.Header) (string, error) {
	values := h.Values(Header)
	if len(values) == 0 {
		return "", ErrNoKey
	}
	if len(values) > 1 {
		return "", ErrMalformed
	}
	value := values[0]
	if len(value) < len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return "", ErrMalformed
	}
	key := strings.TrimLeft(value[len(scheme):], " ")
	if !plain(key) || len(key) > mostKeyBytes {
		return "", ErrMalformed
	}
	return key, nil
}
