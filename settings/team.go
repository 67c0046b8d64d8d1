package settings

// Team is a team that submits jobs.
type Team struct {
	// Weight is its weight in fair sharing among teams, usually 1.
	Weight float64 `toml:"weight"`
	// MilliCPU is its quota in thousandths of a core; 0 for none.
	MilliCPU int64 `toml:"milli_cpu"`
	// MemoryMB is its quota in megabytes; 0 for none.
	MemoryMB int64 `toml:"memory_mb"`
}
