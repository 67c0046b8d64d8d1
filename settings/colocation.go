package settings

// Colocation configures throttling and eviction of batch tasks.
type Colocation struct {
	// UsageLag is how far reports of usage and latency lag behind.
	UsageLag Duration `toml:"usage_lag"`
	// ThrottlePercent is the share of its processors that a throttled task
	// keeps, 1 to 100.
	ThrottlePercent int `toml:"throttle_percent"`
	// EvictAfter is how long after a throttle that did not help a task may
	// be evicted; longer than UsageLag.
	EvictAfter Duration `toml:"evict_after"`
	// MaxEvictionsPerMinute bounds evictions in one shard.
	MaxEvictionsPerMinute int `toml:"max_evictions_per_minute"`
}
