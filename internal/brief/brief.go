// Package brief bounds the texts of errors that quote what another process has sent. Errors of net/http
// may quote a whole line, whose length is that of a header.
//
// The package owns no resources.
//
// # Usage
//
//	return fmt.Errorf("upstream: probe: %w", brief.Error(err))
package brief

import "unicode/utf8"

// maxText is the length of the longest text, in bytes.
const maxText = 512

// shortened is an error with a shorter text.
type shortened struct {
	error
	text string
}

// Error returns an error that wraps err and whose text is cut after 512 bytes; nil for nil.
func Error(err error) error {
	if err == nil {
		return nil
	}
	text := err.Error()
	if len(text) <= maxText {
		return err
	}
	end := maxText
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return &shortened{error: err, text: text[:end] + "..."}
}

// Error returns the shorter text.
func (e *shortened) Error() string { return e.text }

// Unwrap returns the error whose text was cut.
func (e *shortened) Unwrap() error { return e.error }
