package settings

// Lease configures leases and shards. Hosts rely on each other's values. They
// are read when a process starts and aren't changed by an applied configuration.
// Session, Renew and MaxRun may differ between hosts during a rolling restart;
// the others must be equal on all hosts.
type Lease struct {
	// Session is how long an entry host's session is valid after a renewal.
	Session Duration `toml:"session"`
	// Renew is how often the session is renewed.
	Renew Duration `toml:"renew"`
	// ClockRate is the largest relative difference between two hosts' clock
	// rates, such as 0.01.
	ClockRate float64 `toml:"clock_rate"`
	// MaxRun is the maximum time that an endpoint works on a request, even
	// after the caller has disconnected.
	MaxRun Duration `toml:"max_run"`
	// TaskLease is how long a run continues after its owner's last renewal.
	TaskLease Duration `toml:"task_lease"`
	// Successors is how many hosts may take over a shard while its owner is
	// still in the membership list.
	Successors int `toml:"successors"`
	// EndpointShards is into how many shards the endpoints of a service are
	// divided.
	EndpointShards int `toml:"endpoint_shards"`
	// WorkerShardsPerZone is into how many shards the racks of a zone are
	// divided.
	WorkerShardsPerZone int `toml:"worker_shards_per_zone"`
}
