package standin

import "github.com/fireflygate/fireflygate/check"

// EndpointConfig describes an endpoint.
type EndpointConfig struct {
	// Name is its name in the membership list.
	Name    string
	Service string
	Zone    string
	// Slots is how many requests it holds at once.
	Slots int
	// Connections is how many connections it accepts by its word; more are
	// accepted and counted.
	Connections int
	// Work is how long a request takes that does not say it itself.
	Work WorkTime
	// Recorder takes its records; nil drops them.
	Recorder *check.Recorder
}
