package settings

// Lease bounds ownership of shards.
type Lease struct {
	// Session is how long an entry host's session lives without renewal.
	Session Duration `toml:"session"`
	// Renew is how often the session is renewed.
	Renew Duration `toml:"renew"`
	// ClockRate is the largest relative difference between two hosts' clock
	// rates, such as 0.01.
	ClockRate float64 `toml:"clock_rate"`
	// Successors is how many hosts may succeed an owner without the
	// membership list's word.
	Successors int `toml:"successors"`
	// EndpointShards is into how many shards the endpoints of a service are
	// divided.
	EndpointShards int `toml:"endpoint_shards"`
	// WorkerShardsPerZone is into how many shards the racks of a zone are
	// divided.
	WorkerShardsPerZone int `toml:"worker_shards_per_zone"`
}
