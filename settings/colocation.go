package settings

// Colocation configures throttling and eviction of batch tasks.
type Colocation struct {
	// UsageLag is the delay of the workers' reports of usage and latency.
	UsageLag Duration `toml:"usage_lag"`
	// ThrottlePercent is the share of its processors that a throttled task
	// keeps, 1 to 100.
	ThrottlePercent int `toml:"throttle_percent"`
	// EvictAfter is how long a task must have been throttled without
	// sufficient effect before it may be evicted; longer than UsageLag.
	EvictAfter Duration `toml:"evict_after"`
	// MaxEvictionsPerMinute bounds evictions in one shard.
	MaxEvictionsPerMinute int `toml:"max_evictions_per_minute"`
}
