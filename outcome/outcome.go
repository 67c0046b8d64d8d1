// Package outcome holds the three things that can be said of a request once
// it is over. They are values, carried through every layer up to HTTP and the
// exit code of the command line.
package outcome

// Kind says whether a request ran.
type Kind uint8

// The outcomes. The zero value is Unknown, so that a forgotten outcome never
// claims more than is known.
const (
	// Unknown: the request may or may not have run.
	Unknown Kind = iota
	// Answered: the caller has the whole answer.
	Answered
	// NotRun: no byte of the request reached an endpoint, or the endpoint
	// refused it unprocessed.
	NotRun
)

// Header is the HTTP header that carries the outcome to the caller.
const Header = "Fireflygate-Outcome"

// String returns the outcome as it is written in headers and JSON.
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

// Parse reads what String writes. Anything else is Unknown.
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
