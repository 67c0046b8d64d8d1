package dispatch

import (
	"cmp"
	"slices"
)

// QueueShare describes a queue of a pool in which a queue has a guaranteed share.
// Processors are requested ones, in thousandths of a core.
type QueueShare struct {
	Pool, Queue string
	// Entitled is the queue's share of the pool's processors, 0 without a share.
	Entitled int64
	// Used is what its runs request, Lent the part of it beyond the share, and Claim its
	// unmet demand within the share.
	Used, Lent, Claim int64
}

// queueShares describes the queues of the pools with shares.
func (c *cycle) queueShares() []QueueShare {
	var all []QueueShare
	for name, p := range c.shares {
		for i, q := range p.Queues {
			all = append(all, QueueShare{
				Pool: name, Queue: q.Name, Entitled: p.Entitled(i), Used: q.Used, Lent: p.Lent(i), Claim: p.Claim(i),
			})
		}
	}
	slices.SortFunc(all, func(a, b QueueShare) int { return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Queue, b.Queue)) })
	return all
}
