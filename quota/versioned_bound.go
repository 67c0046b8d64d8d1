package quota

// VersionedBound is one shard's bound on one resource of a team. Snapshots of
// reports are numbered in increasing order.
type VersionedBound struct {
	held     int64
	reported uint64
}

// Held returns the current bound.
func (h *VersionedBound) Held() int64 { return h.held }

// Lower reduces the held bound to at most bound.
func (h *VersionedBound) Lower(bound int64) { h.held = min(h.held, bound) }

// Report returns the bound to report for a snapshot. From then on, results of
// older snapshots can't raise the bound above the reported one.
func (h *VersionedBound) Report(snapshot uint64) int64 {
	h.reported = max(h.reported, snapshot)
	return h.held
}

// Apply sets the bound to the result of a snapshot and reports whether it did.
// Results older than the last report are applied only if they lower the bound.
func (h *VersionedBound) Apply(snapshot uint64, bound int64) bool {
	if snapshot < h.reported && bound > h.held {
		return false
	}
	h.held = bound
	return true
}
