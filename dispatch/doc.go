// Package dispatch decides which worker runs which task of stepped jobs. A
// State holds one scheduling domain and does no I/O: time, reports and answers
// are passed in; orders and rows to write are returned. A State must be used by
// one goroutine at a time, and no method blocks.
//
// The authority on a run is its worker's report under the newest fencing token.
// State.Flush returns what must survive the scheduler's process: accepted jobs,
// ends of tasks, cancellations and the roster of workers that may hold runs.
//
// docs/decisions/policy.md describes the scheduling policy.
package dispatch
