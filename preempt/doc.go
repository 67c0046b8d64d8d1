// Package preempt chooses which runs give way to a task of a queue that comes
// first. It is pure.
//
// The load it answers is a pool whose room is taken by work that can wait: a
// rack or a third of the workers is gone, or large jobs came at once, and a
// long-running task that lost its worker fits nowhere. Least work is thrown
// away, and only where it makes the room that is needed.
package preempt
