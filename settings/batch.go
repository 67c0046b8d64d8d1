package settings

// Batch configures placement, polling of workers, quarantine and the journal.
type Batch struct {
	// Exchange is how often a worker is polled when nothing is urgent.
	Exchange Duration `toml:"exchange"`
	// CommitDelay is the minimum time between two commits. If neither urgent
	// entries nor enough rows for a full commit are waiting, the minimum is
	// at least 100 ms, and up to 250 ms if the table is slow.
	CommitDelay Duration `toml:"commit_delay"`
	// CommitRows is the largest number of rows in one commit. Beside the journal's own
	// row, the table service takes 98.
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
