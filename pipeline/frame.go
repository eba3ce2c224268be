package pipeline

import (
	"bytes"
	"strconv"
)

// form says how a request on a connection ends, as far as its header tells.
type form uint8

const (
	partial form = iota // the header has not come whole yet
	simple              // it ends with its header and may be served ahead
	plain               // it ends at a known length or with its last chunk, and is left to its turn
	opaque              // not known here: net/http reads the rest of the connection
)

// frame is a request's form and, where that is simple or plain, its length in bytes, without a body that is
// chunked.
type frame struct {
	form    form
	length  int64
	chunked bool
}

// body returns the chunked body behind length.
func (f frame) body() chunks {
	if f.chunked {
		return newChunks()
	}
	return chunks{}
}

var (
	lineEnd   = []byte("\r\n")
	headerEnd = []byte("\r\n\r\n")
	version11 = []byte(" HTTP/1.1")
)

// maxBody is the longest body, in bytes, that is counted; it keeps lengths from
// overflowing.
const maxBody = 1 << 40

// frameOf is the rule for where the request ends that begins at the start of p. It
// knows an ending only where no reader can see another one: each line ends with
// "\r\n", header fields are names of token characters with values, the length stands
// or the chunked encoding stands at most once, and no other field changes how the connection is read.
// Everything else is opaque, as is a header that is longer than what is read ahead.
func frameOf(p []byte) frame {
	end := bytes.Index(p, headerEnd)
	switch {
	case end < 0 && len(p) < maxHead:
		return frame{form: partial}
	case end < 0:
		return frame{form: opaque}
	}
	head := p[:end]
	line, fields, _ := bytes.Cut(head, lineEnd)
	if !requestLine(line) {
		return frame{form: opaque}
	}
	return frameOfFields(line, fields, frame{form: plain, length: int64(end + len(headerEnd))})
}

// frameOfFields returns the frame of a request with a header, of which f knows the length.
func frameOfFields(line, fields []byte, f frame) frame {
	body, expects := int64(-1), false
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, lineEnd)
		name, value, ok := cutField(field)
		switch {
		case !ok, changesReading(name, value):
			return frame{form: opaque}
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil || n < 0 || n > maxBody || body >= 0 || value[0] == '+' {
				return frame{form: opaque}
			}
			body = n
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if f.chunked || !isWord(value, "chunked") {
				return frame{form: opaque}
			}
			f.chunked = true
		case bytes.EqualFold(name, []byte("Expect")):
			if expects || !isWord(value, "100-continue") {
				return frame{form: opaque}
			}
			expects = true
		}
	}
	switch {
	case f.chunked && body >= 0:
		return frame{form: opaque}
	case body >= 0:
		f.length += body
	case !f.chunked && !expects && isSafeMethod(line):
		f.form = simple
	}
	return f
}

// requestLine reports whether a line is a well-formed request line of HTTP/1.1.
func requestLine(line []byte) bool {
	rest, ok := bytes.CutSuffix(line, version11)
	if !ok {
		return false
	}
	method, target, ok := bytes.Cut(rest, []byte(" "))
	return ok && isToken(method) && len(target) > 0 && target[0] == '/' && isVisible(target)
}

// isSafeMethod reports whether a request line's method is one that clients may
// pipeline.
func isSafeMethod(line []byte) bool {
	return bytes.HasPrefix(line, []byte("GET ")) || bytes.HasPrefix(line, []byte("HEAD "))
}

// cutField cuts a header field at its colon. It refuses what readers of HTTP take in
// different ways: folded lines, space before the colon, control characters.
func cutField(field []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(field, []byte(":"))
	if !ok || !isToken(name) {
		return nil, nil, false
	}
	value = bytes.Trim(value, " \t")
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, nil, false
		}
	}
	return name, value, true
}

// changesReading reports whether a field may change how the connection is read on.
func changesReading(name, value []byte) bool {
	for _, field := range []string{"Upgrade", "Trailer", "HTTP2-Settings"} {
		if bytes.EqualFold(name, []byte(field)) {
			return true
		}
	}
	return bytes.EqualFold(name, []byte("Connection")) && !bytes.EqualFold(value, []byte("keep-alive")) ||
		bytes.EqualFold(name, []byte("Content-Length")) && len(value) == 0
}

// isWord reports whether a value is a word of ASCII letters, in whatever case.
func isWord(value []byte, word string) bool {
	return isToken(value) && bytes.EqualFold(value, []byte(word))
}

// isToken reports whether p is a token of RFC 9110.
func isToken(p []byte) bool {
	for _, c := range p {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && !bytes.ContainsRune([]byte("!#$%&'*+-.^_`|~"), rune(c)) {
			return false
		}
	}
	return len(p) > 0
}

// isVisible reports whether p has printable ASCII characters only.
func isVisible(p []byte) bool {
	for _, c := range p {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}
