package document_test

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/lotuswing/lotuswing/coord/document"
	"github.com/lotuswing/lotuswing/coord/internal/fakestore"
)

func ExampleApply() {
	kv := fakestore.New(fakestore.Options{})
	edit := func(editor string) document.Proposal {
		return document.Proposal{ID: "edit-of-" + editor, Editor: editor, Base: 0, Body: json.RawMessage(`{}`)}
	}
	for _, editor := range []string{"first", "second"} {
		out, err := document.Apply(context.Background(), kv, realClock{}, "config/t", edit(editor), document.ApplyOptions{})
		fmt.Println(editor, out.Result, out.Winner.Editor, err)
	}
	// Output:
	// first won  <nil>
	// second lost first <nil>
}

func ExampleReplica() {
	var r document.Replica
	accept := func(document.Value) error { return nil }
	for _, version := range []uint64{1, 3, 2} {
		changed, _ := r.Offer(document.Value{Name: "config/t", Version: version}, accept)
		fmt.Println(version, changed)
	}
	// Output:
	// 1 true
	// 3 true
	// 2 false
}
