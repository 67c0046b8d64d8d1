package settings

import "time"

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Host: Host{
			MemoryMB:       1024,
			MaxDescriptors: 4096,
			DrainDelay:     Duration(2 * time.Second),
			DrainTimeout:   Duration(time.Minute),
		},
		Platform: Platform{
			Timeout:         Duration(2 * time.Second),
			MembersInterval: Duration(500 * time.Millisecond),
			ConfigInterval:  Duration(time.Second),
		},
		Lease: Lease{
			Session:             Duration(4 * time.Second),
			Renew:               Duration(time.Second),
			ClockRate:           0.01,
			MaxRun:              Duration(5 * time.Second),
			TaskLease:           Duration(30 * time.Second),
			Successors:          2,
			EndpointShards:      16,
			WorkerShardsPerZone: 4,
		},
		Calls: Calls{
			Timeout:              Duration(2 * time.Second),
			MaxBody:              1 << 20,
			Queue:                1024,
			RetryBudget:          0.1,
			ConnectionsPerCaller: 256,
			BookingWindow:        Duration(24 * time.Hour),
		},
		Batch: Batch{
			Exchange:        Duration(time.Second),
			CommitDelay:     Duration(20 * time.Millisecond),
			CommitRows:      98,
			Headroom:        0.1,
			MaxFailures:     3,
			QuarantineAfter: 3,
			QuarantineFor:   Duration(time.Minute),
		},
		Colocation: Colocation{
			UsageLag:              Duration(5 * time.Second),
			ThrottlePercent:       50,
			EvictAfter:            Duration(15 * time.Second),
			MaxEvictionsPerMinute: 10,
		},
	}
}
