// Package preempt chooses the runs to end for a task of a queue with a higher
// priority. It does no I/O and reads no clock.
//
// A long-running task that lost its worker may fit nowhere when many workers
// are lost or large jobs arrive. Victims are chosen so that the least work is
// lost, and only where ending them frees enough capacity.
package preempt
