package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"strconv"
)

// Fingerprint tells a request from all others, the same in all processes and versions. It
// tells nothing of what it was made of.
type Fingerprint string

// fingerprintBytes is the length of a fingerprint: half of a SHA-256, so that nobody finds
// a second request with the fingerprint of another one.
const fingerprintBytes = 16

// Subject is what makes two requests the same: what is asked for, with which body. What
// else stands in headers (identity, deadline, trace) changes from one try to the next, and
// so may the address that it comes from: a caller has several, and a request that ends
// endpoints ends them whoever sends it.
type Subject struct {
	Team   string // whose request it is: what ends endpoints for one is suspected for that one; empty where callers have no teams
	Method string
	Host   string
	Path   string // as it was sent
	Query  string
	Body   []byte // as far as it was read before the request is sent
	Length int64  // of the body as announced; -1 where it is not known
}

// Prints are the fingerprints of a request: of itself, and of all that differ from it in
// their query alone.
type Prints struct {
	Exact Fingerprint
	Wide  Fingerprint
}

// Prints returns the subject's fingerprints. Of a body that is not read before it is sent,
// only the announced length tells it from others.
func (s Subject) Prints() Prints {
	return Prints{
		Exact: fingerprint(s.ofTeam("exact", s.Method, s.Host, s.Path, s.Query, s.length(), string(s.Body))...),
		Wide:  fingerprint(s.ofTeam("wide", s.Method, s.Host, s.Path, s.length(), string(s.Body))...),
	}
}

// ofTeam returns fields with the team behind them, where there is one.
func (s Subject) ofTeam(fields ...string) []string {
	if s.Team == "" {
		return fields
	}
	return append(fields, s.Team)
}

func (s Subject) length() string { return strconv.FormatInt(s.Length, 10) }

// fingerprint returns the fingerprint of some fields.
func fingerprint(fields ...string) Fingerprint {
	h := sha256.New()
	for _, field := range fields {
		writeField(h, field)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// writeField writes a field with its length before it, so that no two subjects are written
// alike.
func writeField(h hash.Hash, field string) {
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // a hash never fails
	_, _ = io.WriteString(h, field)
}

// Valid reports whether a text can be a fingerprint.
func (f Fingerprint) Valid() bool {
	raw, err := hex.DecodeString(string(f))
	return err == nil && len(raw) == fingerprintBytes && string(f) == hex.EncodeToString(raw)
}
