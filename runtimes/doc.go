// Package runtimes learns how long the tasks of a queue run, from what callers declare
// and what was seen. It does no I/O and reads no clock.
//
// Where callers' estimates say little, the learned mean is better; where they are good,
// they are. A line fitted to the logarithms of both finds out which, for each queue: its
// slope is one where estimates are good, and near zero where they are noise.
package runtimes
