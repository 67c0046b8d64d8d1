package runner

import "log/slog"

// Status is the result of an order.
type Status uint8

// The results of an order.
const (
	// Unknown: no answer. The order may have been carried out, or may still be
	// carried out seconds later.
	Unknown Status = iota
	// Done: carried out by this order or by an earlier copy of it.
	Done
	// Fenced: the worker has seen a higher fencing token.
	Fenced
	// Superseded: a run of the task with the same or a higher number was
	// stopped or has ended on the worker.
	Superseded
	// LeaseExpired: the order's lease had expired when it arrived.
	LeaseExpired
	// NoCapacity: the worker lacks the capacity.
	NoCapacity
	// NoPermit: the policy service's ticket is missing or has expired.
	NoPermit
	// Invalid: the worker can't parse the order.
	Invalid
	// Unhealthy: the worker refuses orders for now; nothing was done.
	Unhealthy
	// Restarted: a later incarnation of the worker answered. All runs of the
	// incarnation addressed have ended.
	Restarted
	// NotSent: the sender withdrew the order; no worker has seen it.
	NotSent
)

var statusNames = [...]string{
	"unknown", "done", "fenced", "superseded", "too late", "no room", "no permit", "invalid", "unhealthy", "reborn", "not sent",
}

// String returns the status's name in logs.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return statusNames[Unknown]
}

// Answer is a worker's answer to an order.
type Answer struct {
	Status Status
	// ClockMS is the worker's monotonic clock in milliseconds; 0 if the answer
	// has none.
	ClockMS int64
	// Incarnation is the life of the worker that answered, if the answer tells it.
	Incarnation Incarnation
	// Err is the cause if the status is Unknown or Invalid.
	Err error
}

// LogValue implements slog.LogValuer.
func (s Status) LogValue() slog.Value { return slog.StringValue(s.String()) }
