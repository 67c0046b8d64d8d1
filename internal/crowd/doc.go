// Package crowd plays callers that don't behave, for tests: many connections that hold
// back the end of a request, send what is expensive to decode, or read no responses. It
// also measures what a process holds meanwhile.
package crowd
