// Package leaving records which endpoints are leaving.
//
// A mark names one incarnation of an endpoint by the identity of its VM. It is
// never revoked: only a newer incarnation, which has another identity,
// gets new requests at the same address. Sets merge by union, so balancers may
// exchange them in any order and any number of times.
//
// The package keeps no state: a Set is an immutable value.
//
// # Usage
//
//	s = s.With(leaving.Mark{VM: "e-17", Source: leaving.Answer}, now)
//	if s.Has("e-17") { ... }
package leaving

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Source says where the evidence that an endpoint is leaving came from.
type Source string

// The sources of evidence.
const (
	Answer Source = "answer" // a response of the endpoint said so
	Probe  Source = "probe"  // the endpoint's answer to a probe said so
	List   Source = "list"   // the platform's list of VMs said so
)

// Mark says that one incarnation of an endpoint is leaving.
type Mark struct {
	VM     string
	Source Source
}

// entry is a mark and when this process first learnt of it.
type entry struct {
	mark    Mark
	addedAt time.Time
}

// Set is an immutable set of marks. The zero value is empty.
type Set struct {
	marks map[string]entry
}

// Has reports whether the VM is marked.
func (s Set) Has(vm string) bool {
	_, ok := s.marks[vm]
	return ok
}

// Len returns the number of marks.
func (s Set) Len() int { return len(s.marks) }

// With returns the set with a mark added. If the VM is marked already, its mark is kept.
func (s Set) With(m Mark, now time.Time) Set {
	merged, _ := s.Merge([]Mark{m}, now)
	return merged
}

// Merge returns the union of the set and marks, and the marks that were new. If a VM is marked
// already, its mark is kept.
func (s Set) Merge(marks []Mark, now time.Time) (Set, []Mark) {
	var fresh []Mark
	for _, m := range marks {
		if !s.Has(m.VM) {
			fresh = append(fresh, m)
		}
	}
	if len(fresh) == 0 {
		return s, nil
	}
	next := make(map[string]entry, len(s.marks)+len(fresh))
	maps.Copy(next, s.marks)
	for _, m := range fresh {
		next[m.VM] = entry{mark: m, addedAt: now}
	}
	return Set{marks: next}, fresh
}

// Marks returns the marks sorted by VM.
func (s Set) Marks() []Mark {
	out := make([]Mark, 0, len(s.marks))
	for _, e := range s.marks {
		out = append(out, e.mark)
	}
	slices.SortFunc(out, func(a, b Mark) int { return strings.Compare(a.VM, b.VM) })
	return out
}

// Forget returns the set without the marks that were added before the given time
// and whose VM is not listed. A VM's identity is never reused, so a mark is only
// needed while some list may still name it.
func (s Set) Forget(before time.Time, listed func(vm string) bool) Set {
	next := make(map[string]entry, len(s.marks))
	for vm, e := range s.marks {
		if listed(vm) || !e.addedAt.Before(before) {
			next[vm] = e
		}
	}
	return Set{marks: next}
}
