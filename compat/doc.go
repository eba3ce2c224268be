// Package compat pins what others rely on: balancers of earlier versions that
// serve in the same fleet, records that stand in a store, recorded traces, and
// the names that operators search for in logs, metrics and /status.
//
// It holds tests only. Many of these names are Go names: package encoding/gob
// sends the names of struct fields, net/rpc those of methods, and encoding/json
// those of fields without a tag. A rename would drop the field silently between
// an old and a new balancer, so each such type has a golden file here that was
// written by commit 3ccb4a4, the first version that operators ran.
//
// # Usage
//
//	go test ./compat
//	go test ./compat -update    # only for additions; read the difference
//
// A golden file that changes other than by an addition means that a balancer of
// an earlier version would no longer understand this one.
package compat
