// Package untrusted decodes records of a shared store, which other programs may have written. It bounds
// what a record costs before a decoder reads it, and how much of the log its faults take.
//
// # Usage
//
//	if err := untrusted.Unmarshal(raw, untrusted.MaxRecord, &doc); err != nil { ... }
//	err := untrusted.NewRecordError(key, revision, err)
//	for _, err := range reports.New(errs, now) { log.Error("unusable entry", "error", err) }
package untrusted

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// MaxRecord is the maximum size of the value of a record, in bytes, other than the configuration.
	MaxRecord = 64 << 10
	// maxDepth is how deeply arrays and objects may be nested.
	maxDepth = 64
	// maxErrorText is the maximum length of the text of a RecordError, in bytes.
	maxErrorText = 512
)

// Errors of Check.
var (
	ErrTooLong = errors.New("value is too long")
	ErrTooDeep = errors.New("value is nested too deeply")
)

// Check returns ErrTooLong if raw has more than maxBytes bytes, and ErrTooDeep if its arrays and objects are
// nested more than 64 deep. It does not check that raw is valid JSON.
func Check(raw []byte, maxBytes int) error {
	if len(raw) > maxBytes {
		return ErrTooLong
	}
	if bytes.Count(raw, []byte("["))+bytes.Count(raw, []byte("{")) <= maxDepth {
		return nil
	}
	depth, inString := 0, false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case c == '"':
			inString = !inString
		case inString && c == '\\':
			i++
		case inString:
		case c == '[' || c == '{':
			if depth++; depth > maxDepth {
				return ErrTooDeep
			}
		case c == ']' || c == '}':
			depth = max(0, depth-1)
		}
	}
	return nil
}

// Unmarshal is json.Unmarshal for a value that passes Check.
func Unmarshal(raw []byte, maxBytes int, v any) error {
	if err := Check(raw, maxBytes); err != nil {
		return err
	}
	return json.Unmarshal(raw, v)
}

// RecordError is the error of a record that cannot be used.
type RecordError struct {
	Key      string
	Revision uint64 // position of the record
	text     string
}

// NewRecordError returns the error of a record. It keeps the beginning of the text of err.
func NewRecordError(key string, revision uint64, err error) *RecordError {
	return &RecordError{Key: key, Revision: revision, text: brief(fmt.Sprintf("%s: %v", key, err))}
}

// Brief returns the beginning of the text of an error, on one line.
func Brief(err error) string { return brief(err.Error()) }

func brief(text string) string {
	text = strings.ReplaceAll(text, "\n", "; ")
	if len(text) > maxErrorText {
		text = strings.Clone(text[:maxErrorText]) + "..."
	}
	return strings.ToValidUTF8(text, "\uFFFD")
}

// Error returns the key and the beginning of what is wrong.
func (e *RecordError) Error() string { return e.text }

// Key returns the key of the record that err is about, empty if it is no RecordError.
func Key(err error) string {
	var record *RecordError
	if errors.As(err, &record) {
		return record.Key
	}
	return ""
}

const (
	// maxNew is how many errors New returns at once, apart from the one that counts the others.
	maxNew = 64
	// maxReported is how many records Reports remembers.
	maxReported = 4096
	// reportPause is the least time between two reports of a record that changes.
	reportPause = time.Minute
)

// Reports remembers which errors of records were reported. Its zero value is ready to use. It is safe for
// concurrent use.
type Reports struct {
	mu      sync.Mutex
	last    map[string]report // by key
	cleared time.Time
}

// report is the latest report of a record.
type report struct {
	revision uint64
	at       time.Time
}

// New returns the errors to report at now: those of records that were not reported at their revision, nor
// within the last minute, and all that are no RecordError. If there are more than 64, the last one counts
// the others.
func (r *Reports) New(errs []error, now time.Time) []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var news []error
	for _, err := range errs {
		if r.isNew(err, now) {
			news = append(news, err)
		}
	}
	if more := len(news) - maxNew; more > 0 {
		news = append(news[:maxNew], fmt.Errorf("and %d more records", more))
	}
	return news
}

// isNew reports whether an error is to be reported, and remembers that; r.mu must be held.
func (r *Reports) isNew(err error, now time.Time) bool {
	var record *RecordError
	if !errors.As(err, &record) {
		return true
	}
	last, known := r.last[record.Key]
	switch {
	case known && (last.revision == record.Revision || now.Sub(last.at) < reportPause):
		return false
	case known:
	case len(r.last) < maxReported && r.last != nil:
	case now.Sub(r.cleared) < reportPause:
		return false
	default:
		r.last, r.cleared = map[string]report{}, now
	}
	r.last[record.Key] = report{revision: record.Revision, at: now}
	return true
}
