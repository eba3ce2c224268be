// Package decimal reads the decimal numbers in which endpoints name quantities.
//
// Of what strconv.ParseFloat takes it leaves out signs, exponents, blanks, other bases and the
// names of numbers, so that a value has one meaning for everybody who reads it.
//
// # Usage
//
//	perSecond, ok := decimal.Parse("2.5")
package decimal

import "strconv"

// longest is the length of the longest number that is read, in bytes.
const longest = 64

// Parse reads digits with at most one point among them.
func Parse(text string) (n float64, ok bool) {
	if !isDecimal(text) {
		return 0, false
	}
	n, err := strconv.ParseFloat(text, 64)
	return n, err == nil
}

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
	return digits > 0 && points <= 1 && len(text) <= longest
}
