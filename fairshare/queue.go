package fairshare

// Queue is what a queue uses of its pool and wants from it. Processors are requested
// ones, in thousandths of a core.
type Queue struct {
	// Name identifies the queue.
	Name string
	// Share is the guaranteed share of the pool's processors, 0 for none.
	Share float64
	// Used is what the queue's runs request, Reclaimable the part of it whose runs may be
	// stopped.
	Used, Reclaimable int64
	// Unmet is what the queue's waiting tasks request.
	Unmet int64
}
