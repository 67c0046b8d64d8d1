package quota

// Shard is one shard's report on one team and one resource, in the
// resource's unit.
type Shard struct {
	// Capacity is the total capacity of the shard's workers.
	Capacity int64
	// Used is the team's reservations in the shard.
	Used int64
	// Demand is the sum of the requests of the team's pending jobs.
	Demand int64
	// Held is the bound that the shard's owner enforces.
	Held int64
}

// wanted returns the amount that the shard could use now.
func (s Shard) wanted() int64 {
	return max(s.Used, min(s.Used+s.Demand, s.Capacity))
}
