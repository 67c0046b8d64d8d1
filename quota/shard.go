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

// totalDemand returns the team's usage plus its pending demand, as far as the
// shard's capacity allows; at least the usage.
func (s Shard) totalDemand() int64 {
	return max(s.Used, min(s.Used+s.Demand, s.Capacity))
}
