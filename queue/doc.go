// Package queue orders waiting steps. It is pure.
//
// The load it answers is more work than room: a burst of large jobs, or a
// third of the workers gone. Serving strictly by deadline then makes every
// job late, since each one that is already lost takes room from one that
// could still be met. So what can still meet its objective goes first, what
// can still be of some use next, and what is past both last.
package queue
