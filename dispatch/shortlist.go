package dispatch

import (
	"container/heap"

	"github.com/fireflygate/fireflygate/rank"
)

// shortlist holds the workers that can take tasks of one step, best first.
// Placing a task changes only the chosen worker, so the tasks of a step share
// one pass over the pool.
type shortlist struct {
	c       *cycle
	st      *step
	task    rank.Task
	workers workerHeap
	// since is the change count from which on workers are considered.
	// knownNotToFit is set if an earlier step of the cycle shows that this one
	// fits nowhere.
	since         uint64
	knownNotToFit bool
	// first is the index in c.workers of the worker with which the search began, visited
	// the number of workers visited from there on.
	first, visited int
	// setAside are the workers that the current task avoids, which are not in workers.
	setAside []rankedWorker
}

// rankedWorker is a worker and its cost for a task.
type rankedWorker struct {
	w    *worker
	cost float64
}

// workerHeap is a heap of workers by cost, then by index.
type workerHeap []rankedWorker

// Len implements heap.Interface.
func (r workerHeap) Len() int { return len(r) }

// Less implements heap.Interface.
func (r workerHeap) Less(i, j int) bool {
	if r[i].cost != r[j].cost {
		return r[i].cost < r[j].cost
	}
	return r[i].w.index < r[j].w.index
}

// Swap implements heap.Interface.
func (r workerHeap) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *workerHeap) Push(x any) { *r = append(*r, x.(rankedWorker)) }

// Pop implements heap.Interface. It returns nil because the removed worker
// isn't used.
func (r *workerHeap) Pop() any {
	*r = (*r)[:len(*r)-1]
	return nil
}

// shortlist ranks the workers for a step, as many as a search compares. Workers that
// haven't changed since the step last fitted nowhere are left out.
func (c *cycle) shortlist(st *step) *shortlist {
	l := &shortlist{
		c: c, st: st, task: c.rankTask(st), workers: c.shortlistBuffer[:0], since: c.triedSince(st), knownNotToFit: c.knownNotToFit(st),
	}
	if l.knownNotToFit {
		l.visited = len(c.workers)
		return l
	}
	l.first = c.s.searchFrom % max(len(c.workers), 1)
	l.search()
	return l
}

// search visits workers until enough are found on which the step fits, or all were
// visited. A search of part of the workers begins where the one before ended, so that none
// is preferred.
func (l *shortlist) search() {
	c := l.c
	enough := c.sampled(l.st)
	for l.visited < len(c.workers) && len(l.workers) < enough {
		w := c.workers[(l.first+l.visited)%len(c.workers)]
		l.visited++
		if w.lastChange < l.since {
			continue
		}
		c.visits++
		if cost, ok := c.cost(l.st, &l.task, w, false); ok {
			l.workers = append(l.workers, rankedWorker{w, cost})
		}
	}
	if l.visited < len(c.workers) {
		c.s.searchFrom = l.first + l.visited
	}
	heap.Init(&l.workers)
	c.shortlistBuffer = l.workers
}

// best returns the best worker for one more task. If the task fits nowhere, it
// records that and returns nil.
func (l *shortlist) best() *worker {
	if len(l.workers) == 0 {
		l.search()
	}
	if len(l.workers) > 0 {
		return l.workers[0].w
	}
	if !l.knownNotToFit {
		l.c.recordTried(l.st, l.since)
	}
	return nil
}

// bestFor is best for a task that may have failed: it prefers the workers on which no run
// of the task has. The others are set aside until updateBest.
func (l *shortlist) bestFor(t *task) *worker {
	for len(t.failedOn) > 0 {
		if len(l.workers) == 0 {
			l.search()
		}
		if len(l.workers) == 0 {
			l.putBack()
			break
		}
		if !t.avoids(l.workers[0].w.info.ID) {
			break
		}
		l.setAside = append(l.setAside, l.workers[0])
		heap.Pop(&l.workers)
	}
	return l.best()
}

// putBack returns the workers set aside to the list.
func (l *shortlist) putBack() {
	for _, r := range l.setAside {
		heap.Push(&l.workers, r)
	}
	l.setAside = l.setAside[:0]
}

// updateBest updates the cost of the best worker after it got a task, and returns the
// workers set aside.
func (l *shortlist) updateBest() {
	defer l.putBack()
	cost, ok := l.c.cost(l.st, &l.task, l.workers[0].w, false)
	if !ok {
		heap.Pop(&l.workers)
		return
	}
	l.workers[0].cost = cost
	heap.Fix(&l.workers, 0)
}
