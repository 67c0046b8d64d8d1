package settings

// Team is a team that submits jobs.
type Team struct {
	// Weight is its part in fair sharing; 1 is ordinary.
	Weight float64 `toml:"weight"`
	// MilliCPU is its quota in thousandths of a core; 0 for none.
	MilliCPU int64 `toml:"milli_cpu"`
	// MemoryMB is its quota in megabytes; 0 for none.
	MemoryMB int64 `toml:"memory_mb"`
}
