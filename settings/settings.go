package settings

// Settings is the content of a settings folder.
type Settings struct {
	// Host configures this process; it is never applied to other hosts.
	Host Host `toml:"host"`
	// Platform configures the access to the platform's services from this
	// process.
	Platform Platform `toml:"platform"`
	// Lease configures leases and shards; it isn't applied to running hosts.
	Lease Lease `toml:"lease"`
	// Calls configures interactive requests.
	Calls Calls `toml:"calls"`
	// Batch configures placement, polling of workers, quarantine and the
	// journal.
	Batch Batch `toml:"batch"`
	// Colocation configures throttling and eviction of batch tasks.
	Colocation Colocation `toml:"colocation"`
	// Services are the interactive services by name.
	Services map[string]Service `toml:"services"`
	// Classes are the latency-critical job classes by name.
	Classes map[string]Class `toml:"classes"`
	// Teams are the teams that submit jobs by name.
	Teams map[string]Team `toml:"teams"`
	// Events are the events by name.
	Events map[string]Event `toml:"events"`
	// Zones configures availability zones.
	Zones Zones `toml:"zones"`
	// Objectives are the service-level objectives by name.
	Objectives map[string]Objective `toml:"objectives"`
}
