package ownership

// Snapshot is an immutable copy of the ownership state for the traffic path.
type Snapshot struct {
	// Grants holds this host's grants by shard.
	Grants map[string]Grant
	// Owners holds the name of each shard's last known owner.
	Owners map[string]string
}
