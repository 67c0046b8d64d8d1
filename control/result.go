package control

import "log/slog"

// Result says what became of a request for the owner. The zero value claims
// nothing.
type Result uint8

// The results.
const (
	// ResultUnknown: it may have been carried out, or may be yet.
	ResultUnknown Result = iota
	// ResultDone: it was carried out and is durable.
	ResultDone
	// ResultNotFound: no such job.
	ResultNotFound
	// ResultRefused: it wasn't carried out and never will be.
	ResultRefused
	// ResultNotOwner: the host asked doesn't own the domain; nothing was done.
	ResultNotOwner
)

// String returns the result as logs show it.
func (r Result) String() string {
	switch r {
	case ResultDone:
		return "done"
	case ResultNotFound:
		return "not found"
	case ResultRefused:
		return "refused"
	case ResultNotOwner:
		return "not owner"
	default:
		return "unknown"
	}
}

// LogValue implements slog.LogValuer.
func (r Result) LogValue() slog.Value { return slog.StringValue(r.String()) }
