package placement

import "container/heap"

// queue holds the pending jobs in groups of jobs with the same key.
type queue struct {
	jobs   map[string]*pending
	groups map[groupKey]*group
}

func newQueue() queue {
	return queue{jobs: map[string]*pending{}, groups: map[groupKey]*group{}}
}

// add adds a job that isn't in the queue.
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

// remove removes a job that is in the queue.
func (q *queue) remove(p *pending) {
	g := p.group
	heap.Remove(g, p.slot)
	delete(q.jobs, p.spec.ID)
	if len(g.jobs) == 0 {
		delete(q.groups, g.key)
	}
}
