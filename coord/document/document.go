// Package document keeps a shared document whose version only grows: edits are
// settled against a key-value service, and copies spread between processes
// without ever going back.
//
// A Replica owns the process's copy; the store owns the document. Apply relies on a
// Store with compare-and-swap and on a Clock that it is given.
//
// # Usage
//
//	out, err := document.Apply(ctx, kv, clock, "config/bennani", edit, document.ApplyOptions{})
//	...
//	var r document.Replica
//	changed, err := r.Offer(value, check)
//	value, ok := r.Get("config/bennani")
package document

import (
	"encoding/json"
	"fmt"
	"time"
)

// keptEdits is how many past edits a document names, so that an editor whose
// answer was lost can still find its own.
const keptEdits = 64

// Document is one version of the shared document. It is an immutable value.
type Document struct {
	Version uint64          `json:"version"`
	Edits   []Edit          `json:"edits"` // the last edits, oldest first
	Body    json.RawMessage `json:"body"`
}

// Edit names one accepted change.
type Edit struct {
	ID      string    `json:"id"`
	Editor  string    `json:"editor"`
	Version uint64    `json:"version"` // the version that the edit made
	At      time.Time `json:"at"`      // the editor's clock, for people only
}

// Parse decodes a document and checks its form.
func Parse(raw []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(raw, &d); err != nil {
		return Document{}, fmt.Errorf("document: %w", err)
	}
	if d.Version == 0 || len(d.Edits) == 0 {
		return Document{}, fmt.Errorf("document: no version or no edit")
	}
	if last := d.Edits[len(d.Edits)-1]; last.Version != d.Version {
		return Document{}, fmt.Errorf("document: version %d but last edit made %d", d.Version, last.Version)
	}
	return d, nil
}

// Last returns the edit that made this version.
func (d Document) Last() Edit {
	if len(d.Edits) == 0 {
		return Edit{}
	}
	return d.Edits[len(d.Edits)-1]
}

// EditAt returns the edit that made the given version, if it is still named.
func (d Document) EditAt(version uint64) (Edit, bool) {
	for _, e := range d.Edits {
		if e.Version == version {
			return e, true
		}
	}
	return Edit{}, false
}

// With returns the document after an edit.
func (d Document) With(e Edit, body json.RawMessage) Document {
	e.Version = d.Version + 1
	edits := append([]Edit(nil), d.Edits...)
	edits = append(edits, e)
	if len(edits) > keptEdits {
		edits = edits[len(edits)-keptEdits:]
	}
	return Document{Version: e.Version, Edits: edits, Body: body}
}
