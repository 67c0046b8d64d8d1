package quota

// VersionedBound is what one shard's owner keeps of one team's bound. Snapshots of
// reports are numbered; each is made once, for all.
type VersionedBound struct {
	held     int64
	reported uint64
}

// Held is the bound in force.
func (h *VersionedBound) Held() int64 { return h.held }

// Lower gives up what is held above a bound.
func (h *VersionedBound) Lower(bound int64) { h.held = min(h.held, bound) }

// Report returns the bound to report for a snapshot. From then on the results
// of older snapshots are void, as they would raise what was reported.
func (h *VersionedBound) Report(snapshot uint64) int64 {
	h.reported = max(h.reported, snapshot)
	return h.held
}

// Apply takes in the result of a snapshot and reports whether it counts. A
// result that lowers the bound always does.
func (h *VersionedBound) Apply(snapshot uint64, bound int64) bool {
	if snapshot < h.reported && bound > h.held {
		return false
	}
	h.held = bound
	return true
}
