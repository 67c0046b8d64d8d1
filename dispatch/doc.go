// Package dispatch decides which worker runs which task of stepped jobs. It
// holds the whole state of one scheduling domain and is pure: time, reports
// and answers are passed in, orders and rows to write come out. One goroutine
// uses a State; nothing in it blocks.
//
// What is true of a run is what its worker reports under the newest fencing
// token. What must outlive the scheduler's process comes out of State.Flush:
// accepted jobs, ends of tasks, cancellations and the roster of workers that
// may hold runs.
//
// Which decision answers which load, and where it stands, is told on one page:
// docs/decisions/policy.md.
package dispatch
