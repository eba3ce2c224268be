// Package reason lists the reason codes of responses that the balancer generates itself, with the
// documentation of each code.
//
// Callers, operators and their tools rely on the codes, so a code never changes its meaning. A new
// code goes at the end of its group (1xxx, 2xxx or 3xxx).
//
// # Usage
//
//	doc, ok := reason.Lookup(reason.QueueFull)
//	fmt.Println(doc.Title, doc.Action)
//
// The command "lotusctl explain CODE" prints an entry; docs/REASONS.md is generated from the same
// table.
package reason

import (
	"fmt"
	"strings"
)

// Code identifies a reason, for example "LW2001".
type Code string

// Severity tells an operator how urgent a reason is.
type Severity string

// The severities, from harmless to urgent.
const (
	Info    Severity = "info"
	Warning Severity = "warning"
	Urgent  Severity = "urgent"
)

// Doc documents one reason code.
type Doc struct {
	Code     Code
	Title    string // short summary
	Text     string // what happened
	Action   string // what the caller or operator should do
	Status   int    // HTTP status of the response
	Since    string // first release that has the code
	Severity Severity
}

// Lookup returns the documentation of code, or false if there is none.
func Lookup(code Code) (Doc, bool) {
	for _, doc := range Table {
		if doc.Code == code {
			return doc, true
		}
	}
	return Doc{}, false
}

// MustLookup is Lookup for the codes declared in this package. It panics if code has no
// documentation.
func MustLookup(code Code) Doc {
	doc, ok := Lookup(code)
	if !ok {
		panic(fmt.Sprintf("reason: %q is not in the table", code))
	}
	return doc
}

// String renders the documentation as plain text.
func (d Doc) String() string {
	return fmt.Sprintf("%s: %s\nseverity %s, HTTP status %d, since %s\n\n%s\n\nWhat to do: %s\n",
		d.Code, d.Title, d.Severity, d.Status, d.Since, d.Text, d.Action)
}

// Markdown renders the documentation of all codes as a Markdown page.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Reason codes\n\nGenerated from package coord/reason by `lotusctl explain --markdown`; a test compares the two.\n")
	for _, d := range Table {
		fmt.Fprintf(&b, "\n## %s: %s\n\nSeverity %s, HTTP status %d, since %s.\n\n%s\n\n**What to do:** %s\n",
			d.Code, d.Title, d.Severity, d.Status, d.Since, d.Text, d.Action)
	}
	return b.String()
}
