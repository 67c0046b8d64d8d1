package dispatch

import (
	"container/heap"

	"github.com/fireflygate/fireflygate/rank"
)

// shortlist holds the workers that may take tasks of one step, best first.
// Placing a task changes only the worker that got it, so the tasks of a step
// share one look at the pool.
type shortlist struct {
	c       *cycle
	st      *step
	task    rank.Task
	workers ranked
	// since is the count of changes from which workers are considered; known is
	// set if it was known before that the step fits nowhere.
	since uint64
	known bool
}

// rankedWorker is a worker and how bad it is for a task.
type rankedWorker struct {
	w    *worker
	cost float64
}

// ranked is a heap of workers, least cost first, equal ones in the order of
// their slots.
type ranked []rankedWorker

// Len implements heap.Interface.
func (r ranked) Len() int { return len(r) }

// Less implements heap.Interface.
func (r ranked) Less(i, j int) bool {
	if r[i].cost != r[j].cost {
		return r[i].cost < r[j].cost
	}
	return r[i].w.slot < r[j].w.slot
}

// Swap implements heap.Interface.
func (r ranked) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *ranked) Push(x any) { *r = append(*r, x.(rankedWorker)) }

// Pop implements heap.Interface. What it removes isn't needed any more.
func (r *ranked) Pop() any {
	*r = (*r)[:len(*r)-1]
	return nil
}

// shortlist ranks the workers for a step. Those where nothing has changed since
// the step last fitted nowhere are left out.
func (c *cycle) shortlist(st *step) *shortlist {
	l := &shortlist{
		c: c, st: st, task: c.rankTask(st), workers: c.spare[:0], since: c.triedSince(st), known: c.knownNotToFit(st),
	}
	if l.known {
		return l
	}
	for _, w := range c.workers {
		if w.changed < l.since {
			continue
		}
		if cost, ok := c.cost(st, &l.task, w, false); ok {
			l.workers = append(l.workers, rankedWorker{w, cost})
		}
	}
	heap.Init(&l.workers)
	c.spare = l.workers
	return l
}

// best returns the best worker for one more task, nil if it fits nowhere.
func (l *shortlist) best() *worker {
	if len(l.workers) > 0 {
		return l.workers[0].w
	}
	if !l.known {
		l.c.noteTried(l.st, l.since)
	}
	return nil
}

// placed takes in that the best worker got a task.
func (l *shortlist) placed() {
	cost, ok := l.c.cost(l.st, &l.task, l.workers[0].w, false)
	if !ok {
		heap.Pop(&l.workers)
		return
	}
	l.workers[0].cost = cost
	heap.Fix(&l.workers, 0)
}
