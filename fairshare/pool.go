package fairshare

import (
	"cmp"
	"slices"
)

// reclaimedPerSecond is the largest part of a pool that is reclaimed within a second.
// Each reclaimed run loses unsaved work and, at the restore, time.
const reclaimedPerSecond = 0.1

// Pool is a pool of workers and the queues that use it.
type Pool struct {
	// Capacity is the number of processors, in thousandths of a core.
	Capacity int64
	// Queues are in order of their names.
	Queues []Queue
}

// Loan is what can be reclaimed from a queue.
type Loan struct {
	// Queue is the queue's index.
	Queue int
	// MilliCPU is the amount, in thousandths of a core.
	MilliCPU int64
}

// Entitled returns the processors to which a queue is entitled while it has demand for
// them, in thousandths of a core.
func (p *Pool) Entitled(queue int) int64 {
	return int64(p.Queues[queue].Share * float64(p.Capacity))
}

// BelowShare reports whether a queue uses less than its share.
func (p *Pool) BelowShare(queue int) bool { return p.Queues[queue].Used < p.Entitled(queue) }

// Claim returns the unmet demand of a queue within its share, in thousandths of a core;
// 0 if it has no claim.
func (p *Pool) Claim(queue int) int64 {
	return max(min(p.Entitled(queue)-p.Queues[queue].Used, p.Queues[queue].Unmet), 0)
}

// Lent returns what a queue uses beyond its share, in thousandths of a core. A queue
// without a share is entitled to nothing, so all that it uses is lent.
func (p *Pool) Lent(queue int) int64 {
	return max(p.Queues[queue].Used-p.Entitled(queue), 0)
}

// First returns the queue that goes first: among those below their shares for which
// waits returns true, the one that uses the smallest part of its share. It returns false
// if there is none; the order of the queues' steps then doesn't depend on shares.
func (p *Pool) First(waits func(queue int) bool) (int, bool) {
	best, found := 0, false
	for i := range p.Queues {
		if !p.BelowShare(i) || !waits(i) {
			continue
		}
		if !found || p.usedPart(i) < p.usedPart(best) {
			best, found = i, true
		}
	}
	return best, found
}

// usedPart returns the part of its share that a queue uses.
func (p *Pool) usedPart(queue int) float64 {
	return float64(p.Queues[queue].Used) / float64(p.Entitled(queue))
}

// Started records that a task of a queue has started, which requests milliCPU.
func (p *Pool) Started(queue int, milliCPU int64) {
	q := &p.Queues[queue]
	q.Used += milliCPU
	q.Unmet = max(q.Unmet-milliCPU, 0)
}

// Reclaimed records that a run of a queue is being stopped, which requests milliCPU.
func (p *Pool) Reclaimed(queue int, milliCPU int64) {
	q := &p.Queues[queue]
	q.Used -= milliCPU
	q.Reclaimable -= milliCPU
}

// Loans returns what can be reclaimed from each queue, from the one furthest above its
// share on. Runs that may not be stopped don't count.
func (p *Pool) Loans() []Loan {
	var all []Loan
	for i := range p.Queues {
		if n := min(p.Lent(i), p.Queues[i].Reclaimable); n > 0 {
			all = append(all, Loan{Queue: i, MilliCPU: n})
		}
	}
	slices.SortStableFunc(all, func(a, b Loan) int { return cmp.Compare(b.MilliCPU, a.MilliCPU) })
	return all
}

// ReclaimLimit returns how much may be reclaimed now, in thousandths of a core, if
// lastSecond was reclaimed within the last second.
func (p *Pool) ReclaimLimit(lastSecond int64) int64 {
	return max(int64(reclaimedPerSecond*float64(p.Capacity))-lastSecond, 0)
}
