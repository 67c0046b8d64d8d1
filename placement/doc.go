// Package placement decides where tasks run. A Planner holds the state of one
// shard of workers and returns plans; the owner of the shard verifies and
// commits them. It does no I/O, reads no clock, and is deterministic for a
// given seed.
package placement
