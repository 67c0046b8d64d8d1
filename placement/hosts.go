package placement

import "time"

// unknownHost is why a host that was never set, only adopted on, takes no
// task.
const unknownHost = "unknown"

// SetHost adds a host or updates it.
func (s *Scheduler) SetHost(h Host) {
	n, known := s.nodes[h.Name]
	if !known {
		s.insert(&node{host: h})
		return
	}
	if n.host == h {
		return
	}
	s.count(n, -1)
	s.index.remove(n)
	n.host = h
	s.count(n, 1)
	s.refresh(n)
}

func (s *Scheduler) insert(n *node) {
	s.nodes[n.host.Name] = n
	n.position = len(s.order)
	s.order = append(s.order, n)
	s.count(n, 1)
	s.refresh(n)
}

// count adds a host to the totals or, with -1, takes it away.
func (s *Scheduler) count(n *node, by int) {
	s.shapes.count(n.host, by)
	for _, r := range n.runs {
		s.countSpread(r, by)
	}
	if by > 0 {
		s.capacity = s.capacity.Add(n.host.Capacity)
		return
	}
	s.capacity = s.capacity.Sub(n.host.Capacity)
}

// refresh brings the index up to date with what a node has free.
func (s *Scheduler) refresh(n *node) {
	s.index.update(n)
	s.unfit.freed(n)
}

// RemoveHost forgets a host. Runs that were not released before are dropped
// without learning from them.
func (s *Scheduler) RemoveHost(name string) {
	n, known := s.nodes[name]
	if !known {
		return
	}
	for len(n.runs) > 0 {
		s.Release(time.Time{}, n.runs[0].spec.ID, false)
	}
	s.dropNominations(n)
	s.count(n, -1)
	s.index.remove(n)
	last := len(s.order) - 1
	s.order[n.position] = s.order[last]
	s.order[n.position].position = n.position
	s.order[last] = nil
	s.order = s.order[:last]
	delete(s.nodes, name)
}
