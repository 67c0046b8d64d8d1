package quota

// Shard is one shard's report on one team and one resource, in the
// resource's unit.
type Shard struct {
	// Capacity is what the shard's hosts hold in all.
	Capacity int64
	// Used is what the team reserves there.
	Used int64
	// Demand is what its pending jobs ask for besides.
	Demand int64
	// Held is the bound that the shard's owner keeps to now.
	Held int64
}

// want is what the shard could use at once.
func (s Shard) want() int64 {
	return max(s.Used, min(s.Used+s.Demand, s.Capacity))
}
