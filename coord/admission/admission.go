// Package admission decides whether and from when an endpoint may get a request.
//
// An endpoint says in its answers that it leaves, or that it wants no requests for a while (a
// Word). A State keeps what one start of it has said.
//
// The package owns no state and has no clock; times are arguments.
//
// # Usage
//
//	state = state.With(admission.Word{Backoff: 3 * time.Second}, now)
//	if state.BackingOff(now) { ... }
package admission
