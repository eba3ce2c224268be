package directory_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/directory"
)

// BenchmarkFirstCopy applies and logs a first copy of 719 endpoints: 1.6 ms with a log
// line for each, 1.0 ms with one line for all.
func BenchmarkFirstCopy(b *testing.B) {
	var entries []directory.Entry
	for i := range 719 {
		entries = append(entries, entry(fmt.Sprintf("i-%010x", i), uint64(i+1)))
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "lotuswing", Level: hclog.Info, Output: io.Discard})
	for b.Loop() {
		f := directory.NewFollower(directory.New(), newFakeSource(), directory.Options{Log: log})
		f.Apply(directory.Changes{Complete: true, Revision: 1000, Entries: entries})
	}
}

// BenchmarkOneChange applies the change of one of 10,000 endpoints, as a balancer does for
// each that joins or leaves: 13.8 ms if all lists are rebuilt, 0.83 ms if only the list of the
// endpoint's service is rebuilt, with a tenth of the endpoints, and 0.11 ms if the change is merged
// into that list.
func BenchmarkOneChange(b *testing.B) {
	d := directory.New()
	var entries []directory.Entry
	for i := range 10000 {
		e := entry(fmt.Sprintf("i-%010x", i*2654435761), uint64(i+1))
		e.Endpoint.Service = fmt.Sprint("s", i%10)
		entries = append(entries, e)
	}
	d.Apply(directory.Changes{Complete: true, Revision: 10000, Entries: entries}, start)
	revision := uint64(10000)
	for b.Loop() {
		revision++
		changed := entries[7]
		changed.Revision = revision
		d.Apply(directory.Changes{Revision: revision, Entries: []directory.Entry{changed}}, start)
	}
}
