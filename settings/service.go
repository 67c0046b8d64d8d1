package settings

// Service is an interactive service.
type Service struct {
	// Slots and Connections are the sizes of an endpoint whose member entry
	// gives none.
	Slots       int `toml:"slots"`
	Connections int `toml:"connections"`
	// IdempotentMethods are the HTTP methods that may be retried after a
	// byte was sent.
	IdempotentMethods []string `toml:"idempotent_methods"`
}
