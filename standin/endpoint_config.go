package standin

import "github.com/fireflygate/fireflygate/check"

// EndpointConfig describes an endpoint.
type EndpointConfig struct {
	// Name is its name in the membership list.
	Name    string
	Service string
	Zone    string
	// Slots is the number of requests that may run at once.
	Slots int
	// Connections is the advertised connection limit. It isn't enforced;
	// EndpointStats.PeakConnections shows whether it was exceeded.
	Connections int
	// Work is the processing time of requests without WorkHeader.
	Work WorkTime
	// Recorder receives its records; nil discards them.
	Recorder *check.Recorder
}
