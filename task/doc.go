// Package task holds a task's life: what was asked for, its states, its run
// epochs and the legal transitions between them. It is pure.
package task
