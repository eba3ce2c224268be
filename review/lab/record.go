//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run, with the seconds since its beginning.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// newRecord creates a record.
func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// line writes a line.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
