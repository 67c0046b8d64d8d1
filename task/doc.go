// Package task implements the state machine of a batch job: its spec, states,
// run epochs and the legal transitions. It performs no I/O.
package task
