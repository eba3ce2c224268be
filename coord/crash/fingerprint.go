package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"strconv"
)

// Fingerprint identifies a request. Equal requests have the same fingerprint in all processes and
// versions. It does not reveal what it was computed from.
type Fingerprint string

// fingerprintBytes is the length of a fingerprint in bytes: half of a SHA-256 hash, which makes it
// infeasible to construct a second request with the fingerprint of another one.
const fingerprintBytes = 16

// Request holds the parts of a request that identify it: what is requested, and with which body.
// Headers other than Host (request ID, deadline, trace) are left out, as they change from one
// attempt to the next. So is the address of the caller: a caller has several, and a request that
// crashes endpoints does so whoever sends it.
type Request struct {
	Team   string // team of the caller, so that crashes under one team's request do not affect another team's; empty where callers have no teams
	Method string
	Host   string
	Path   string // as sent
	Query  string
	Body   []byte // the part that is read before the request is sent
	Length int64  // length of the body in bytes, as announced; -1 if unknown
}

// Fingerprints are the fingerprints of a request.
type Fingerprints struct {
	Exact    Fingerprint // of the request itself
	AnyQuery Fingerprint // the same for all requests that differ only in their query
}

// Fingerprints returns the fingerprints of the request. A body that is not read before the request is
// sent is represented only by its announced length.
func (s Request) Fingerprints() Fingerprints {
	return Fingerprints{
		Exact:    fingerprint(s.withTeam("exact", s.Method, s.Host, s.Path, s.Query, s.length(), string(s.Body))...),
		AnyQuery: fingerprint(s.withTeam("wide", s.Method, s.Host, s.Path, s.length(), string(s.Body))...),
	}
}

// withTeam returns fields with the team appended, if there is one.
func (s Request) withTeam(fields ...string) []string {
	if s.Team == "" {
		return fields
	}
	return append(fields, s.Team)
}

func (s Request) length() string { return strconv.FormatInt(s.Length, 10) }

// fingerprint returns the fingerprint of a sequence of fields.
func fingerprint(fields ...string) Fingerprint {
	h := sha256.New()
	for _, field := range fields {
		writeField(h, field)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// writeField writes a field preceded by its length, so that different sequences of fields never
// have the same encoding.
func writeField(h hash.Hash, field string) {
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // writing to a hash never fails
	_, _ = io.WriteString(h, field)
}

// Valid reports whether f has the form of a fingerprint: 32 lower-case hexadecimal digits.
func (f Fingerprint) Valid() bool {
	raw, err := hex.DecodeString(string(f))
	return err == nil && len(raw) == fingerprintBytes && string(f) == hex.EncodeToString(raw)
}
