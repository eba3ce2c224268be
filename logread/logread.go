// Package logread finds one request in the logs of balancers, and puts together what all
// of them saw of each endpoint.
//
// Find returns every line that names the request, or a connection that another balancer carried for it, in the order in which its process
// wrote them, and the context lines of that process: what it knew of endpoints that
// the request met, of the configuration and of the store, from a while before the
// request until its end. The wall clocks of processes may differ, so lines
// of several processes are never ordered by them; each process has a part of
// its own.
//
// Endpoints counts how attempts ended: one balancer of hundreds sends an endpoint a
// request in half a minute and cannot tell one that fails in part, all of them together
// can.
//
// The package owns nothing and relies on the form of the log lines.
//
// # Usage
//
//	parts, err := logread.Find("9c41d07be2a35f68", sources, logread.Options{})
//	seen, err := logread.Endpoints(sources)
package logread

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Options of a search. Zero fields take the defaults.
type Options struct {
	// Before is how long before the request context lines are included; default 10 s.
	Before time.Duration
	// After is how long after its last line; default 1 s.
	After time.Duration
}

// Source is a log, of one process or of several whose lines a collector has
// marked: the last word before the time of a line names its process.
type Source struct {
	Name string
	Log  io.Reader
}

// Part is what one process's log says of a request.
type Part struct {
	Source  string
	Process string // empty where lines are not marked
	Lines   []Line
}

// Line is one line of a log.
type Line struct {
	At      time.Time
	Request bool // it names the request; otherwise it is a context line
	Text    string
}

// timePattern finds the time of a line. What a collector writes before it
// stays.
var timePattern = regexp.MustCompile(`\d{4}-\d{2}-\d{2}T\d{2}:\d{2}:\d{2}\.\d{3}(?:Z|[+-]\d{2}:?\d{2})`)

// timeLayouts are the forms of a time.
var timeLayouts = []string{"2006-01-02T15:04:05.000Z07:00", "2006-01-02T15:04:05.000Z0700"}

// longestLine bounds a line, in bytes.
const longestLine = 1 << 20

// Find returns the parts of the sources that name the request.
func Find(request string, sources []Source, opts Options) ([]Part, error) {
	if opts.Before == 0 {
		opts.Before = 10 * time.Second
	}
	if opts.After == 0 {
		opts.After = time.Second
	}
	logs := make([]map[string][]Line, 0, len(sources))
	tunnels := map[string]bool{}
	for _, source := range sources {
		processes, err := read(source.Log, request)
		if err != nil {
			return nil, fmt.Errorf("logread: %s: %w", source.Name, err)
		}
		logs = append(logs, processes)
		collectTunnels(processes, tunnels)
	}
	var parts []Part
	for i, processes := range logs {
		for _, name := range slices.Sorted(maps.Keys(processes)) {
			markCarried(processes[name], tunnels)
			if chosen := choose(processes[name], opts); len(chosen) > 0 {
				parts = append(parts, Part{Source: sources[i].Name, Process: name, Lines: chosen})
			}
		}
	}
	return parts, nil
}

// tunnelField is the field that identifies a connection in the log of the balancer that carries it.
const tunnelField = "tunnel"

// collectTunnels adds the carried connections that the request's lines name.
func collectTunnels(processes map[string][]Line, tunnels map[string]bool) {
	for _, lines := range processes {
		for _, l := range lines {
			if id := Value(l.Text, tunnelField); l.Request && id != "" {
				tunnels[id] = true
			}
		}
	}
}

// markCarried marks the lines about the request's carried connections as the request's own.
func markCarried(lines []Line, tunnels map[string]bool) {
	for i := range lines {
		lines[i].Request = lines[i].Request || tunnels[Value(lines[i].Text, tunnelField)]
	}
}

// read returns the lines of a log by process.
func read(log io.Reader, request string) (map[string][]Line, error) {
	processes := map[string][]Line{}
	err := scan(log, func(process string, at time.Time, text string) {
		processes[process] = append(processes[process], Line{At: at, Request: Value(text, "request") == request, Text: text})
	})
	return processes, err
}

// scan calls each for the lines of a log that have a time, from the time on.
func scan(log io.Reader, each func(process string, at time.Time, text string)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		text := scanner.Text()
		place := timePattern.FindStringIndex(text)
		if place == nil {
			continue
		}
		if at, ok := parseTime(text[place[0]:place[1]]); ok {
			each(lastWord(text[:place[0]]), at, text[place[0]:])
		}
	}
	return scanner.Err()
}

func parseTime(text string) (time.Time, bool) {
	for _, layout := range timeLayouts {
		if at, err := time.Parse(layout, text); err == nil {
			return at, true
		}
	}
	return time.Time{}, false
}

func lastWord(text string) string {
	words := strings.Fields(text)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// Value returns the value of a field of a line, without its quotes; empty where
// the line has no such field.
func Value(text, field string) string {
	_, value, found := strings.Cut(text, " "+field+"=")
	if !found {
		return ""
	}
	if quoted, err := strconv.QuotedPrefix(value); err == nil {
		if text, err := strconv.Unquote(quoted); err == nil {
			return text
		}
	}
	value, _, _ = strings.Cut(value, " ")
	return value
}

// choose returns the request's lines and those about what its process believed
// meanwhile.
func choose(lines []Line, opts Options) []Line {
	first := slices.IndexFunc(lines, func(l Line) bool { return l.Request })
	if first < 0 {
		return nil
	}
	endpoints := map[string]bool{}
	last := first
	for i, l := range lines {
		if l.Request {
			last = i
			endpoints[Value(l.Text, "endpoint")] = true
		}
	}
	from, until := lines[first].At.Add(-opts.Before), lines[last].At.Add(opts.After)
	var chosen []Line
	for _, l := range lines {
		within := !l.At.Before(from) && !l.At.After(until)
		if l.Request || within && isContext(l.Text, endpoints) {
			chosen = append(chosen, l)
		}
	}
	return chosen
}

// isContext reports whether a line says what a process knew: of itself, of the
// store and the configuration, or of an endpoint that the request met.
func isContext(text string, endpoints map[string]bool) bool {
	if Value(text, "request") != "" && !strings.Contains(text, ": endpoint: ") {
		return false
	}
	if strings.Contains(text, ": endpoint: ") {
		return endpoints[Value(text, "id")]
	}
	return strings.Contains(text, "lotuswing")
}
