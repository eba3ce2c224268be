package pipeline

// chunkState is the part of a chunked body that comes next.
type chunkState uint8

const (
	chunksEnd    chunkState = iota // there is no more of it
	chunkSize                      // the first digit of a size
	chunkDigits                    // another digit, or what is behind the size
	chunkExt                       // an extension
	chunkSizeLF                    // the end of a size's line
	chunkData                      // data
	chunkDataCR                    // the end of data
	chunkDataLF                    // the end of data, behind its CR
	trailerStart                   // the first byte of a line behind the last chunk
	trailerName                    // the name of a trailer field
	trailerValue                   // its value
	trailerLF                      // the end of its line
	trailersLF                     // the end of the body
)

// chunksNeed says, for each state, how many bytes the body has at least, beside data that is announced:
// the last chunk and the empty line behind it end each body.
var chunksNeed = [...]int64{
	chunkSize: 5, chunkDigits: 4, chunkExt: 4, chunkSizeLF: 3, chunkData: 7, chunkDataCR: 7, chunkDataLF: 6,
	trailerStart: 2, trailerName: 5, trailerValue: 4, trailerLF: 3, trailersLF: 1,
}

const (
	// maxChunkDigits keeps sizes from overflowing.
	maxChunkDigits = 10
	// maxChunkExtra is how many bytes the extensions and trailers of a body may have. It is below all limits
	// of net/http.
	maxChunkExtra = 1 << 10
)

// chunks follows a chunked body to its end. The zero value is a body that has ended.
type chunks struct {
	state  chunkState
	data   int64 // of the chunk, that is still to come
	digits int   // of its size, as far as read
	extra  int   // bytes of extensions and trailers
}

// newChunks returns the beginning of a chunked body.
func newChunks() chunks { return chunks{state: chunkSize} }

// need returns the least number of bytes that the body still has; 0 at its end.
func (c *chunks) need() int64 {
	if c.state == chunkData {
		return c.data + chunksNeed[chunkData]
	}
	return chunksNeed[c.state]
}

// scan follows the body through p and returns how many bytes of p belong to it. It returns false where
// the body has a form that readers take in different ways.
func (c *chunks) scan(p []byte) (n int, ok bool) {
	for n < len(p) && c.state != chunksEnd {
		if c.state == chunkData {
			skipped := min(c.data, int64(len(p)-n))
			n += int(skipped)
			if c.data -= skipped; c.data == 0 {
				c.state = chunkDataCR
			}
			continue
		}
		if !c.next(p[n]) {
			return n, false
		}
		n++
	}
	return n, true
}

// next takes a byte that is not data.
func (c *chunks) next(b byte) bool {
	switch c.state {
	case chunkSize, chunkDigits, chunkExt, chunkSizeLF:
		return c.nextOfSize(b)
	case chunkDataCR:
		return c.expect(b, '\r', chunkDataLF)
	case chunkDataLF:
		return c.expect(b, '\n', chunkSize)
	}
	return c.nextOfTrailers(b)
}

// nextOfSize takes a byte of the line in front of a chunk's data.
func (c *chunks) nextOfSize(b byte) bool {
	digit := hexDigit(b)
	switch {
	case c.state == chunkSize && digit >= 0:
		c.data, c.digits, c.state = digit, 1, chunkDigits
		return true
	case c.state == chunkDigits && digit >= 0:
		c.data, c.digits = c.data<<4|digit, c.digits+1
		return c.digits <= maxChunkDigits
	case c.state == chunkDigits && b == ';':
		c.state = chunkExt
		return c.spend()
	case c.state == chunkDigits, c.state == chunkExt:
		return b == '\r' && c.expect(b, '\r', chunkSizeLF) || c.state == chunkExt && isText(b) && c.spend()
	case c.state == chunkSizeLF && c.data == 0:
		return c.expect(b, '\n', trailerStart)
	}
	return c.state == chunkSizeLF && c.expect(b, '\n', chunkData)
}

// nextOfTrailers takes a byte behind the last chunk.
func (c *chunks) nextOfTrailers(b byte) bool {
	switch {
	case c.state == trailerStart && b == '\r':
		c.state = trailersLF
		return true
	case c.state == trailerName && b == ':':
		c.state = trailerValue
		return c.spend()
	case c.state == trailerStart, c.state == trailerName:
		c.state = trailerName
		return isToken([]byte{b}) && c.spend()
	case c.state == trailerValue && b != '\r':
		return isText(b) && c.spend()
	case c.state == trailerValue:
		return c.expect(b, '\r', trailerLF)
	case c.state == trailerLF:
		return c.expect(b, '\n', trailerStart)
	}
	return c.expect(b, '\n', chunksEnd)
}

// expect goes on to a state if a byte is the one that has to come.
func (c *chunks) expect(b, want byte, next chunkState) bool {
	c.state = next
	return b == want
}

// spend counts a byte of extensions and trailers.
func (c *chunks) spend() bool {
	c.extra++
	return c.extra <= maxChunkExtra
}

// hexDigit returns the value of a hexadecimal digit; negative for another byte.
func hexDigit(b byte) int64 {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0')
	case b >= 'a' && b <= 'f':
		return int64(b-'a') + 10
	case b >= 'A' && b <= 'F':
		return int64(b-'A') + 10
	}
	return -1
}

// isText reports whether a byte may stand in the value of a field.
func isText(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }
