// Package rank chooses a worker for a task. It is pure.
//
// Tasks are packed where they fit best, so that room for large ones remains.
// Tasks that serve users and tasks that fill what others leave are kept on
// different workers, since a filler makes the tail of its neighbours longer
// in a way that is known only after it has been measured.
package rank
