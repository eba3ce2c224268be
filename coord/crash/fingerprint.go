package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Fingerprint tells a request from all others, the same in all processes and versions. It
// tells nothing of what it was made of.
type Fingerprint string

// fingerprintBytes is the length of a fingerprint: half of a SHA-256, so that nobody finds
// a second request with the fingerprint of another one.
const fingerprintBytes = 16

// Subject is what makes two requests the same: who asks, for what, with which body. What
// else stands in headers (identity, deadline, trace) changes from one try to the next.
type Subject struct {
	Caller string // IP address
	Method string
	Host   string
	URI    string // path and query as they were sent
	Body   []byte // as far as it was read before the request is sent
	Length int64  // of the body as announced; -1 where it is not known
}

// Fingerprint returns the subject's fingerprint. Of a body that is not read before it is
// sent, only the announced length tells it from others.
func (s Subject) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range []string{s.Caller, s.Method, s.Host, s.URI} {
		writeField(h, []byte(field))
	}
	writeField(h, binary.BigEndian.AppendUint64(nil, uint64(s.Length)))
	writeField(h, s.Body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// writeField writes a field with its length before it, so that no two subjects are written
// alike.
func writeField(h hash.Hash, field []byte) {
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // a hash never fails
	_, _ = h.Write(field)
}

// Valid reports whether a text can be a fingerprint.
func (f Fingerprint) Valid() bool {
	raw, err := hex.DecodeString(string(f))
	return err == nil && len(raw) == fingerprintBytes && string(f) == hex.EncodeToString(raw)
}
