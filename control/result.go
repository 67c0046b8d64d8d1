package control

import "log/slog"

// Result is the result of a request to the owner.
type Result uint8

// Results of requests.
const (
	// ResultUnknown means that the request may have been executed or may yet be.
	ResultUnknown Result = iota
	// ResultDone means that the request was executed and is durable.
	ResultDone
	// ResultNotFound means that the job doesn't exist.
	ResultNotFound
	// ResultRefused means that the request wasn't and won't be executed.
	ResultRefused
	// ResultNotOwner means that the host doesn't own the domain; nothing was done.
	ResultNotOwner
)

// String returns the result's name in logs and metrics.
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
