package compat

import (
	"bytes"
	"encoding/base64"
	"encoding/gob"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/lotuswing/lotuswing/bootstrap"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/link"
	"github.com/lotuswing/lotuswing/relay"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// sent lists the arguments and replies of all calls between balancers.
var sent = map[string]any{
	"AcquireArgs":      link.AcquireArgs{},
	"AcquireReply":     link.AcquireReply{},
	"AwaitArgs":        link.AwaitArgs{},
	"Done":             link.Done{},
	"CancelArgs":       link.CancelArgs{},
	"RenewArgs":        link.RenewArgs{},
	"Digest":           link.Digest{},
	"ReachArgs":        link.ReachArgs{},
	"FetchArgs":        link.FetchArgs{},
	"FetchReply":       link.FetchReply{},
	"OfferArgs":        link.OfferArgs{},
	"UnconfirmedArgs":  link.UnconfirmedArgs{},
	"UnconfirmedReply": link.UnconfirmedReply{},
	"SignArgs":         link.SignArgs{},
	"ChangesArgs":      relay.ChangesArgs{},
	"ChangesReply":     relay.ChangesReply{},
	"TellArgs":         relay.TellArgs{},
	"TellReply":        relay.TellReply{},
	"CountArgs":        relay.CountArgs{},
	"CountReply":       relay.CountReply{},
	"CarriersArgs":     relay.CarriersArgs{},
	"CarriersReply":    relay.CarriersReply{},
	"CopyArgs":         bootstrap.CopyArgs{},
	"CopyReply":        bootstrap.CopyReply{},
	"CopiedRecord":     directory.Record{},
}

// addedLater lists the fields that a call gained after its first version, version by
// version. A balancer of an earlier one does not send them: they are read as zero. The
// stream NAME.2 is of the second version, and so on.
var addedLater = map[string][][]string{
	"ChangesArgs":  {{"From", "Patient", "InTouch"}, {"TakesNotes", "NotesLife", "NotesAfter"}, {"PathsLost"}},
	"ChangesReply": {{"StoreLost", "Askers", "Instead"}, {"Notes", "NotesLife", "NotesAt"}, {"ConfirmedAge", "ChangesAge"}},
	"CountArgs":    {{"From", "Asks"}, {"Report.Rests"}, {"Report.Joined", "Report.Fleet", "Report.Counts.Missing"}, {"Report.Span"}, {"Warmups"}},
	"CountReply":   {{"Limits", "Answer.Members"}, {"Answer.From", "Answer.Span", "Answer.Words.Spent", "Answer.Words.ZoneTotal"}, {"Warmups"}},
	"CopyArgs":     {{"Part"}},
	"CopyReply":    {{"Part"}},
	"Done":         {{"Backoff"}},
}

// ofVersion returns a value with the fields zero that a version lacks, counted from 0.
func ofVersion(name string, version int, v any) any {
	out := reflect.New(reflect.TypeOf(v)).Elem()
	out.Set(reflect.ValueOf(v))
	for _, fields := range addedLater[name][version:] {
		for _, field := range fields {
			fieldOf(out, field).SetZero()
		}
	}
	return out.Interface()
}

// fieldOf returns a field of a struct, or with a dot one of a field's. Of a list it takes the first
// element, the only one of a filled value.
func fieldOf(v reflect.Value, name string) reflect.Value {
	if v.Kind() == reflect.Slice {
		v = v.Index(0)
	}
	outer, inner, nested := strings.Cut(name, ".")
	v = v.FieldByName(outer)
	if nested {
		return fieldOf(v, inner)
	}
	return v
}

// TestCallsBetweenBalancers: what a balancer of 3ccb4a4 sent is read without
// loss, and what is sent now has the fields that it reads.
func TestCallsBetweenBalancers(t *testing.T) {
	for name, v := range sent {
		t.Run(name, func(t *testing.T) {
			golden.Assert(t, shape(reflect.TypeOf(v), 0), name+".shape.golden")
			checkStream(t, name, ofVersion(name, 0, filled(v)))
			for version := range addedLater[name] {
				checkStream(t, fmt.Sprintf("%s.%d", name, version+2), ofVersion(name, version+1, filled(v)))
			}
		})
	}
}

// checkStream reads what an earlier version wrote of a value. Such a stream is never
// written again: this version could only read its own.
func checkStream(t *testing.T, name string, want any) {
	t.Helper()
	file := name + ".gob.golden"
	if _, err := os.Stat(golden.Path(file)); golden.FlagUpdate() && os.IsNotExist(err) {
		assert.NilError(t, os.WriteFile(golden.Path(file), encoded(t, want), 0o600))
	}
	raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(golden.Get(t, file))))
	assert.NilError(t, err)
	got := reflect.New(reflect.TypeOf(want))
	assert.NilError(t, gob.NewDecoder(bytes.NewReader(raw)).Decode(got.Interface()))
	assert.DeepEqual(t, got.Elem().Interface(), want)
}

// encoded returns the gob stream of a value in base64.
func encoded(t *testing.T, v any) []byte {
	t.Helper()
	var out bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&out).Encode(v))
	return []byte(base64.StdEncoding.EncodeToString(out.Bytes()) + "\n")
}

// TestMethodNames: net/rpc finds methods by these names.
func TestMethodNames(t *testing.T) {
	names := []string{
		link.Acquire, link.Await, link.Complete, link.Cancel, link.Renew, link.Exchange, link.Reach, link.Fetch,
		link.Offer, link.Unconfirmed, link.Sign,
	}
	golden.Assert(t, strings.Join(names, "\n")+"\n", "methods.golden")
}
