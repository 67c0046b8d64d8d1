// Package outcome classifies how a finished request ended. The outcome is
// passed as a value through every layer, up to the HTTP response and the exit
// code of the command line.
package outcome

// Kind tells whether a request ran.
type Kind uint8

// The outcomes. Unknown is the zero value, so that an outcome that was never
// set doesn't claim that the request ran or didn't run.
const (
	// Unknown: the request may or may not have run.
	Unknown Kind = iota
	// Answered: the caller has the complete response.
	Answered
	// NotRun: no byte of the request reached an endpoint, or the endpoint
	// rejected the request without processing it.
	NotRun
)

// Header is the HTTP header that carries the outcome to the caller.
const Header = "Fireflygate-Outcome"

// String returns the form used in headers and JSON.
func (k Kind) String() string {
	switch k {
	case Answered:
		return "answered"
	case NotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Parse is the inverse of String. It returns Unknown for any other text.
func Parse(s string) Kind {
	switch s {
	case "answered":
		return Answered
	case "not_run":
		return NotRun
	default:
		return Unknown
	}
}
