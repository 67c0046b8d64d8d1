// Package placement decides where tasks run. A Planner holds the view of one
// shard of workers and yields plans; the owner of the shard verifies and
// commits them. It is pure: no I/O, no clock, no randomness of its own.
package placement
