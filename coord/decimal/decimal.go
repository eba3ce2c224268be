// Package decimal parses the decimal numbers that endpoints send.
//
// Unlike strconv.ParseFloat it rejects signs, exponents, spaces, other bases, and names such as NaN
// and Inf, so that all readers understand a value alike.
//
// # Usage
//
//	perSecond, ok := decimal.Parse("2.5")
package decimal

import "strconv"

// maxLength is the length of the longest accepted number, in bytes.
const maxLength = 64

// Parse parses a number of ASCII digits with at most one decimal point; ok is false for any other
// text.
func Parse(text string) (n float64, ok bool) {
	if !isDecimal(text) {
		return 0, false
	}
	n, err := strconv.ParseFloat(text, 64)
	return n, err == nil
}

// isDecimal reports whether a text has at least one digit, at most one decimal point, nothing else,
// and at most maxLength bytes.
func isDecimal(text string) bool {
	digits, points := 0, 0
	for _, c := range []byte(text) {
		switch {
		case c == '.':
			points++
		case c < '0' || c > '9':
			return false
		default:
			digits++
		}
	}
	return digits > 0 && points <= 1 && len(text) <= maxLength
}
