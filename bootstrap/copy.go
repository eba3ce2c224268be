package bootstrap

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"

	"github.com/lotuswing/lotuswing/directory"
)

// maxUnpacked is the maximum unpacked size of one copy, in bytes.
const maxUnpacked = 64 << 20

// Copy is the content of the store at a revision, or a part of it, encoded for other balancers. It
// is immutable.
type Copy struct {
	At     uint64 // revision up to which all changes are known; 0 for a part
	Packed []byte // the records, encoded as gob and compressed with DEFLATE
}

// Pack encodes records as a Copy of revision at.
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

// Unpack decodes the records. It fails if the copy is truncated, malformed or larger than
// maxUnpacked.
func (c Copy) Unpack() ([]directory.Record, error) {
	r := flate.NewReader(bytes.NewReader(c.Packed))
	defer func() { _ = r.Close() }() // closing a reader of memory cannot lose data
	var records []directory.Record
	if err := gob.NewDecoder(io.LimitReader(r, maxUnpacked)).Decode(&records); err != nil {
		return nil, fmt.Errorf("bootstrap: unpack: %w", err)
	}
	return records, nil
}
