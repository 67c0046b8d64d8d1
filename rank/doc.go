// Package rank computes the cost of placing a task on a worker. It does no I/O
// and reads no clock.
//
// Tasks are packed where they fit best, so that capacity for large tasks
// remains. Serving and best-effort tasks are kept apart where possible, since
// best-effort tasks lengthen the tails of serving tasks.
package rank
