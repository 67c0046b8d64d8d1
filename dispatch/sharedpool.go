package dispatch

import (
	"slices"
	"strings"

	"github.com/fireflygate/fireflygate/fairshare"
)

// sharedPool is a pool in which a queue has a guaranteed share. It is reused by each cycle,
// which computes its contents anew.
type sharedPool struct {
	fairshare.Pool
	// queues are those of the pool, in the order of Pool.Queues.
	queues []*sharedQueue
	// steps are the pool's waiting steps in queue order, of which those before next have
	// been tried.
	steps []*waitingStep
	next  int
}

// sharedQueue is a queue of a sharedPool.
type sharedQueue struct {
	pool  *sharedPool
	index int
	// steps are its waiting steps in queue order, of which those before next have been
	// tried.
	steps []*waitingStep
	next  int
}

// met reports whether the queue, nil for none, is no longer below its share.
func (q *sharedQueue) met() bool { return q != nil && !q.pool.BelowShare(q.index) }

// waits reports whether a queue has steps that haven't been tried.
func (p *sharedPool) waits(queue int) bool { q := p.queues[queue]; return q.next < len(q.steps) }

// reset empties the pool's contents and the queues'.
func (p *sharedPool) reset() {
	p.Capacity, p.steps, p.next = 0, p.steps[:0], 0
	for i, q := range p.queues {
		p.Queues[i].Used, p.Queues[i].Reclaimable, p.Queues[i].Unmet = 0, 0, 0
		q.steps, q.next = q.steps[:0], 0
	}
}

// queue returns a queue of the pool, which it adds with the given share if it is new.
func (p *sharedPool) queue(name string, share float64) *sharedQueue {
	i, found := slices.BinarySearchFunc(p.Queues, name, func(q fairshare.Queue, name string) int { return strings.Compare(q.Name, name) })
	if !found {
		p.Queues = slices.Insert(p.Queues, i, fairshare.Queue{Name: name, Share: share})
		p.queues = slices.Insert(p.queues, i, &sharedQueue{pool: p})
		for k, q := range p.queues {
			q.index = k
		}
	}
	return p.queues[i]
}

// done reports whether all steps of the pool have been tried.
func (p *sharedPool) done() bool {
	for p.next < len(p.steps) && p.steps[p.next].tried {
		p.next++
	}
	return p.next == len(p.steps)
}
