package settings

// Host configures one entry host process.
type Host struct {
	// Name is the entry host's name in the membership list.
	Name string `toml:"name"`
	// Region and Zone are where it runs.
	Region string `toml:"region"`
	Zone   string `toml:"zone"`
	// Listen is the IP:port for callers.
	Listen string `toml:"listen"`
	// Operators is the IP:port for operators, metrics and profiles.
	Operators string `toml:"operators"`
	// Peer is the IP:port for other entry hosts.
	Peer string `toml:"peer"`
	// Secret is the file that holds the operators' credential. If empty,
	// requests need none, and the operators' port must be on loopback.
	Secret string `toml:"secret"`
	// MemoryMB is the memory that the process may use, in MB. Callers may hold a
	// quarter of it; see OPERATORS.md.
	MemoryMB int64 `toml:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may use.
	// Callers may hold half of them, without 200 for files.
	MaxDescriptors int `toml:"max_descriptors"`
	// DrainDelay is how long a draining host goes on taking requests, until
	// the balancer has noticed that it is not ready.
	DrainDelay Duration `toml:"drain_delay"`
	// DrainTimeout bounds a whole drain.
	DrainTimeout Duration `toml:"drain_timeout"`
	// TLS names the certificate files; empty for plain TCP.
	TLS TLS `toml:"tls"`
}
