package settings

// Colocation configures throttling and eviction of batch tasks.
type Colocation struct {
	// UsageLag is the delay of the workers' reports of usage and latency.
	UsageLag Duration `toml:"usage_lag"`
	// ThrottlePercent is the share of its processors that a throttled task
	// keeps, 1 to 100.
	ThrottlePercent int `toml:"throttle_percent"`
	// EvictAfter is how long throttling on a host must have been insufficient
	// before a task may be evicted from it; longer than UsageLag.
	EvictAfter Duration `toml:"evict_after"`
	// MaxEvictionsPerMinute bounds evictions in one shard.
	MaxEvictionsPerMinute int `toml:"max_evictions_per_minute"`
}
