// Package routing decides where an interactive request goes: to a slot of an
// endpoint that this host owns, to a peer, into the queue, or back to the
// caller. It is pure: callers pass the time and randomness, and guard every
// value with a lock of their own.
package routing
