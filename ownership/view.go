package ownership

// Snapshot is an immutable snapshot of ownership for the traffic path.
type Snapshot struct {
	// Grants is what this host holds, by shard.
	Grants map[string]Grant
	// Owners is the name of the host that owns each shard, as last read.
	Owners map[string]string
}
