package placement

import "time"

// unknownHost is the Unschedulable reason of hosts that have an adopted run
// but were never set.
const unknownHost = "unknown"

// SetHost adds or updates a host.
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

// count adds a host to the totals, or removes it if by is -1.
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

// refresh updates the index and the cache after a change of a node's free
// resources.
func (s *Scheduler) refresh(n *node) {
	s.index.update(n)
	s.unfit.freed(n)
}

// RemoveHost removes a host. Runs that the caller hasn't released are released
// without learning from them, and nominations on the host are dropped.
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
