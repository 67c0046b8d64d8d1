// Package routing decides where an interactive request goes: to a slot of an
// endpoint that this host owns, to a peer, into the queue, or back to the
// caller with a refusal. It does no I/O and reads no clock: callers pass the
// time and the source of randomness, and synchronize access themselves.
package routing
