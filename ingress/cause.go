package ingress

// Cause is why a caller was refused or its connection was closed.
type Cause string

// The causes.
const (
	// CauseConnections means that there was no place for a new connection.
	CauseConnections Cause = "connections"
	// CauseMemory means that there was no memory for a request.
	CauseMemory Cause = "memory"
	// CauseStalled means that a request without progress lost its place to others.
	CauseStalled Cause = "stalled"
	// CauseIdle means that a connection without a request lost its place to others.
	CauseIdle Cause = "idle"
	// CauseHeaderSize means that a header was larger than the limit.
	CauseHeaderSize Cause = "header_size"
	// CauseBodySize means that a body was larger than the limit.
	CauseBodySize Cause = "body_size"
	// CauseBodyTime means that a body didn't arrive in time.
	CauseBodyTime Cause = "body_time"
	// CauseResponseTime means that a caller didn't read its response in time.
	CauseResponseTime Cause = "response_time"
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{
		CauseConnections, CauseMemory, CauseStalled, CauseIdle,
		CauseHeaderSize, CauseBodySize, CauseBodyTime, CauseResponseTime,
	}
}

// RefusedError is the error of a request that wasn't read whole. The request has not run.
type RefusedError struct {
	Cause Cause
}

// Error implements error.
func (e *RefusedError) Error() string { return "request refused: " + string(e.Cause) }
