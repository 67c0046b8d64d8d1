// Package ownerdriver drives the ownership state machine of one entry host. It
// connects package ownership with the table, the other entry hosts and the
// clock. A control goroutine owns the state; requests run in separate
// goroutines and pass their results to it.
package ownerdriver
