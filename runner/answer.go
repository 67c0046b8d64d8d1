package runner

import "log/slog"

// Status says what became of an order.
type Status uint8

// The results of an order. The zero value claims nothing.
const (
	// Unknown: no answer; the order may have been carried out, or may still
	// be seconds later.
	Unknown Status = iota
	// Done: carried out, now or before.
	Done
	// Fenced: the worker has seen a higher token.
	Fenced
	// Superseded: the run isn't higher than one stopped or ended there.
	Superseded
	// LeaseExpired: the lease that the order carried is over.
	LeaseExpired
	// NoCapacity: the worker's guard refused it.
	NoCapacity
	// NoPermit: the policy service's ticket is missing or over.
	NoPermit
	// Invalid: the worker can't read the order.
	Invalid
	// Unhealthy: the worker refused it for now and did nothing.
	Unhealthy
	// Restarted: another life of the worker answered; the one meant is over.
	Restarted
)

var statusNames = [...]string{
	"unknown", "done", "fenced", "superseded", "too late", "no room", "no permit", "invalid", "unhealthy", "reborn",
}

// String returns the status as logs show it.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return statusNames[Unknown]
}

// Answer is a worker's answer to an order.
type Answer struct {
	Status Status
	// ClockMS is the worker's steady clock, 0 if the answer told none.
	ClockMS int64
	// Err tells why the status is Unknown or Invalid.
	Err error
}

// LogValue implements slog.LogValuer.
func (s Status) LogValue() slog.Value { return slog.StringValue(s.String()) }
