package bootstrap

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"

	"github.com/lotuswing/lotuswing/directory"
)

// maxUnpacked bounds what is unpacked of one copy, in bytes.
const maxUnpacked = 64 << 20

// Copy is everything that the store held at a revision, packed for other balancers. It is an
// immutable value.
type Copy struct {
	At     uint64 // revision up to which all is known
	Packed []byte
}

// Pack makes a copy of records.
func Pack(records []directory.Record, at uint64) (Copy, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return Copy{}, fmt.Errorf("bootstrap: pack: %w", err)
	}
	if err := gob.NewEncoder(w).Encode(records); err != nil {
		return Copy{}, fmt.Errorf("bootstrap: pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return Copy{}, fmt.Errorf("bootstrap: pack: %w", err)
	}
	return Copy{At: at, Packed: out.Bytes()}, nil
}

// Unpack returns the records of a copy.
func (c Copy) Unpack() ([]directory.Record, error) {
	r := flate.NewReader(bytes.NewReader(c.Packed))
	defer func() { _ = r.Close() }() // a reader of memory has nothing to lose
	var records []directory.Record
	if err := gob.NewDecoder(io.LimitReader(r, maxUnpacked)).Decode(&records); err != nil {
		return nil, fmt.Errorf("bootstrap: unpack: %w", err)
	}
	return records, nil
}
