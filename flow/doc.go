// Package flow controls how much an owner has in flight with its workers, based
// on measured round trips. It does no I/O and reads no clock.
//
// An owner can have more orders and reports to exchange than its processor or
// network link can handle. With fixed limits the excess is delayed, delayed
// orders time out, and handling timeouts adds load. Therefore order timeouts
// follow the round trip (Timeout), the round trip of starts bounds how many are
// in flight (Limit), and workers are polled less often as it grows
// (PollInterval).
package flow
