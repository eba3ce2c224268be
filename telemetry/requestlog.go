package telemetry

import (
	"io"
	"strconv"
	"sync"
	"time"
)

// timeFormat is that of all log lines.
const timeFormat = "2006-01-02T15:04:05.000Z"

// RequestLogger writes the decisions about requests as log lines, one line for
// each decision, at a bounded rate. Lines are written when a request goes out and
// when it has ended. Half of the rate is kept for requests that failed; lines
// that find no room are left out, and the request is counted.
type RequestLogger struct {
	out  io.Writer
	rate float64 // lines a second, and the most that may be saved up

	mu      sync.Mutex
	tokens  float64
	updated time.Time
	skipped Skipped
}

// Skipped counts requests that were left out of the log.
type Skipped struct {
	Succeeded int64
	Failed    int64
}

// NewRequestLogger returns a logger that writes up to rate lines a second.
func NewRequestLogger(out io.Writer, rate int) *RequestLogger {
	return &RequestLogger{out: out, rate: float64(rate), tokens: float64(rate)}
}

// Skipped returns how many requests were left out of the log.
func (r *RequestLogger) Skipped() Skipped {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.skipped
}

// Begin starts the log of a request. A nil logger starts one that is never
// written.
func (r *RequestLogger) Begin(request string) *RequestLog {
	if r == nil {
		return nil
	}
	return &RequestLog{logger: r, request: request}
}

// allow takes the tokens for the lines of a request that has ended.
func (r *RequestLogger) allow(lines int, failed bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.updated.IsZero() {
		r.updated = now
	}
	r.tokens = min(r.rate, r.tokens+r.rate*now.Sub(r.updated).Seconds())
	r.updated = now
	left := r.tokens - float64(lines)
	switch {
	case failed && left < 0:
		return false
	case !failed && left < r.rate*failedShare:
		return false
	}
	r.tokens = left
	return true
}

// skip counts a request that was left out.
func (r *RequestLogger) skip(failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failed {
		r.skipped.Failed++
	} else {
		r.skipped.Succeeded++
	}
}

// failedShare is the part of the rate that is kept for requests that failed.
const failedShare = 0.5

// RequestLog is the lines of one request that are not written yet. It belongs to
// one goroutine at a time. All methods do nothing on a nil RequestLog.
type RequestLog struct {
	logger  *RequestLogger
	request string
	text    []byte
	lines   int
}

// Line begins a line; its fields follow.
func (s *RequestLog) Line(event string) *Line {
	if s == nil {
		return nil
	}
	s.lines++
	s.text = time.Now().UTC().AppendFormat(s.text, timeFormat)
	s.text = append(s.text, " [INFO]  lotuswing.request: "...)
	s.text = append(s.text, event...)
	s.text = append(s.text, ": request="...)
	s.text = appendValue(s.text, s.request)
	return (*Line)(s)
}

// Flush writes the lines so far at once, whatever becomes of the request.
func (s *RequestLog) Flush() {
	if s == nil || len(s.text) == 0 {
		return
	}
	_, _ = s.logger.out.Write(s.text) // a Queue, which counts what it drops
	s.text, s.lines = s.text[:0], 0
}

// FlushWithin writes the lines so far if the rate has room for them, so that
// they are there even if this process dies before the request has ended.
func (s *RequestLog) FlushWithin(now time.Time) {
	if s != nil && s.lines > 0 && s.logger.allow(s.lines, false, now) {
		s.Flush()
	}
}

// End ends the log of the request.
func (s *RequestLog) End(failed bool, now time.Time) {
	if s == nil || s.lines == 0 {
		return
	}
	if s.logger.allow(s.lines, failed, now) {
		s.Flush()
		return
	}
	s.logger.skip(failed)
}

// Line is a line to which fields are added. All methods do nothing on a nil
// Line.
type Line RequestLog

// Text adds a field.
func (l *Line) Text(key, value string) *Line {
	if l == nil {
		return nil
	}
	l.key(key)
	l.text = appendValue(l.text, value)
	return l
}

// Int adds a field.
func (l *Line) Int(key string, value int64) *Line {
	if l == nil {
		return nil
	}
	l.key(key)
	l.text = strconv.AppendInt(l.text, value, 10)
	return l
}

// Float adds a field.
func (l *Line) Float(key string, value float64) *Line {
	if l == nil {
		return nil
	}
	l.key(key)
	l.text = strconv.AppendFloat(l.text, value, 'f', 2, 64)
	return l
}

// Millis adds a duration in milliseconds.
func (l *Line) Millis(key string, value time.Duration) *Line {
	if l == nil {
		return nil
	}
	l.key(key)
	l.text = strconv.AppendFloat(l.text, float64(value)/float64(time.Millisecond), 'f', 1, 64)
	return l
}

// Bool adds a field.
func (l *Line) Bool(key string, value bool) *Line {
	if l == nil {
		return nil
	}
	l.key(key)
	l.text = strconv.AppendBool(l.text, value)
	return l
}

// Done ends the line.
func (l *Line) Done() {
	if l != nil {
		l.text = append(l.text, '\n')
	}
}

func (l *Line) key(key string) {
	l.text = append(l.text, ' ')
	l.text = append(l.text, key...)
	l.text = append(l.text, '=')
}

// appendValue quotes a value where it would not be one word.
func appendValue(text []byte, value string) []byte {
	if value == "" {
		return append(text, `""`...)
	}
	for i := range len(value) {
		if c := value[i]; c <= ' ' || c == '"' || c == '=' || c >= 0x7f {
			return strconv.AppendQuote(text, value)
		}
	}
	return append(text, value...)
}
