package settings

// Service is an interactive service.
type Service struct {
	// Slots and Connections are the maximum numbers of concurrent requests
	// and connections of an endpoint whose member entry gives none.
	Slots       int `toml:"slots"`
	Connections int `toml:"connections"`
	// IdempotentMethods are the HTTP methods of requests that may safely run
	// more than once, and so may be retried after they were sent. If it isn't
	// set, these are GET and HEAD.
	IdempotentMethods []string `toml:"idempotent_methods"`
}
