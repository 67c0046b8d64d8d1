package placement

import "container/heap"

// queue holds the pending jobs in groups of alike ones.
type queue struct {
	jobs   map[string]*pending
	groups map[groupKey]*group
}

func newQueue() queue {
	return queue{jobs: map[string]*pending{}, groups: map[groupKey]*group{}}
}

// add puts in a job that is not in.
func (q *queue) add(p *pending) {
	key := keyOf(p)
	g, known := q.groups[key]
	if !known {
		g = &group{key: key}
		q.groups[key] = g
	}
	heap.Push(g, p)
	q.jobs[p.spec.ID] = p
}

// remove takes out a job that is in.
func (q *queue) remove(p *pending) {
	g := p.group
	heap.Remove(g, p.slot)
	delete(q.jobs, p.spec.ID)
	if len(g.jobs) == 0 {
		delete(q.groups, g.key)
	}
}
