package relay

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/lotuswing/lotuswing/directory"
)

// packer encodes changes for other balancers. It caches the last result, because most balancers ask
// for the same changes.
type packer struct {
	mu            sync.Mutex
	writer        *flate.Writer // reused, because a new one allocates most of a megabyte; nil before the first use
	after         uint64        // with knownRevision and whole: identifies the delta that packed encodes
	knownRevision uint64
	whole         bool
	packed        []byte
}

func newPacker() *packer { return &packer{} }

// maxPacked bounds the decoded size of one answer, in bytes.
const maxPacked = 64 << 20

// pack encodes the records of a delta. It returns nil if there are none.
func (p *packer) pack(d delta) ([]byte, error) {
	if len(d.records) == 0 {
		return nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed != nil && p.after == d.after && p.knownRevision == d.knownRevision && p.whole == d.whole {
		return p.packed, nil
	}
	var out bytes.Buffer
	w, err := p.writerTo(&out)
	if err != nil {
		return nil, fmt.Errorf("relay: pack: %w", err)
	}
	if err := json.NewEncoder(w).Encode(d.records); err != nil {
		return nil, fmt.Errorf("relay: pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("relay: pack: %w", err)
	}
	p.after, p.knownRevision, p.whole, p.packed = d.after, d.knownRevision, d.whole, out.Bytes()
	return p.packed, nil
}

// writerTo returns the writer, reset to write to out; p.mu must be held.
func (p *packer) writerTo(out io.Writer) (*flate.Writer, error) {
	if p.writer != nil {
		p.writer.Reset(out)
		return p.writer, nil
	}
	w, err := flate.NewWriter(out, flate.BestSpeed)
	p.writer = w
	return w, err
}

// unpack decodes the result of pack.
func unpack(packed []byte) ([]directory.Record, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	r := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = r.Close() }() // a reader of a byte slice holds no resources
	var records []directory.Record
	if err := json.NewDecoder(io.LimitReader(r, maxPacked)).Decode(&records); err != nil {
		return nil, fmt.Errorf("relay: unpack: %w", err)
	}
	return records, nil
}
