package settings

// Settings is everything that a folder of TOML files may say.
type Settings struct {
	// Host is this process's own part; it is never applied to other hosts.
	Host Host `toml:"host"`
	// Platform tells where the platform's services are.
	Platform Platform `toml:"platform"`
	// Lease is what hosts rely on of each other; it is not applied to running
	// hosts.
	Lease Lease `toml:"lease"`
	// Calls bounds interactive requests.
	Calls Calls `toml:"calls"`
	// Batch bounds placement, task leases and the journal.
	Batch Batch `toml:"batch"`
	// Colocation tunes throttling and eviction.
	Colocation Colocation `toml:"colocation"`
	// Services are the interactive services by name.
	Services map[string]Service `toml:"services"`
	// Classes are the latency-critical job classes by name.
	Classes map[string]Class `toml:"classes"`
	// Teams are the teams that submit jobs by name.
	Teams map[string]Team `toml:"teams"`
	// Events are the named starts by name.
	Events map[string]Event `toml:"events"`
	// Objectives are the service-level objectives by name.
	Objectives map[string]Objective `toml:"objectives"`
}
