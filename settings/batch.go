package settings

// Batch configures placement, polling of workers, quarantine and the journal.
type Batch struct {
	// Exchange is how often a worker is asked when nothing is urgent.
	Exchange Duration `toml:"exchange"`
	// CommitDelay is the shortest time between two commits that carry urgent
	// entries or as many rows as a commit takes. Other entries wait until
	// 100 to 250 ms have passed since the last commit, the longer the more
	// time the table takes.
	CommitDelay Duration `toml:"commit_delay"`
	// CommitRows is the largest number of rows in one commit.
	CommitRows int `toml:"commit_rows"`
	// Headroom is the share of each worker's processors kept free for
	// latency-critical tasks.
	Headroom float64 `toml:"headroom"`
	// MaxFailures is how many distinct workers a job may fail on before it
	// is parked.
	MaxFailures int `toml:"max_failures"`
	// QuarantineAfter is how many distinct jobs must fail in a row on a
	// worker before it is quarantined.
	QuarantineAfter int `toml:"quarantine_after"`
	// QuarantineFor is how long until a quarantined worker is probed.
	QuarantineFor Duration `toml:"quarantine_for"`
}
