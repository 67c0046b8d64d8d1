package placement

const (
	// targetCandidates is the number of feasible nodes to score per job.
	targetCandidates = 16
	// maxExamined bounds the nodes examined in one sampling pass.
	maxExamined = 64
)

// feasible returns a bounded sample of the nodes that fit, in s.candidates: half
// from the cells that suit the kind of job best, half from random cells. If the
// sample contains none, all nodes are searched, so that a job that fits somewhere
// is always placed.
func (s *Scheduler) feasible(q *request) []*node {
	s.candidates = s.candidates[:0]
	if q.nominated != nil && q.filter(q.nominated) == Feasible {
		return append(s.candidates, q.nominated)
	}
	for _, accelerated := range acceleratorOrder(q) {
		for _, g := range s.index.grids {
			if g.accelerated == accelerated && g.nodes > 0 && zoneFits(q.spec.Zones, g.zone) {
				s.sample(q, g)
			}
		}
		if len(s.candidates) > 0 {
			return s.candidates
		}
		s.searchAll(q, accelerated)
		if len(s.candidates) > 0 {
			return s.candidates
		}
	}
	return s.candidates
}

var (
	acceleratedOnly = []bool{true}
	plainFirst      = []bool{false, true}
)

// acceleratorOrder reserves hosts with accelerators for jobs that need them
// while another host fits.
func acceleratorOrder(q *request) []bool {
	if q.size.Accelerators > 0 {
		return acceleratedOnly
	}
	return plainFirst
}

// sample adds up to targetCandidates feasible nodes of a grid to the candidates.
// It makes two walks of at most maxExamined nodes each: one in the job's order of
// preference, for half of the candidates, and one that begins at a random row.
func (s *Scheduler) sample(q *request, g *grid) {
	w := newWalk(q, g)
	if w.cpu >= levels {
		return
	}
	target := len(s.candidates) + targetCandidates/2
	s.collect(q, w.inPreferredOrder(q), target, maxExamined)
	target += targetCandidates / 2
	s.collect(q, w.rotated(s.random.IntN(levels-w.cpu)), target, maxExamined)
}

// collect examines up to limit nodes of a walk until there are target
// candidates.
func (s *Scheduler) collect(q *request, w walk, target, limit int) {
	for row := w.first(); row >= 0; row = w.next() {
		for cells := w.cellsOf(row); cells != 0; cells &= cells - 1 {
			nodes := w.grid.nodesAt(row, cells)
			start := s.random.IntN(len(nodes))
			for i := range nodes {
				if limit == 0 || len(s.candidates) >= target {
					return
				}
				limit--
				n := nodes[(start+i)%len(nodes)]
				if q.filter(n) == Feasible && !s.isCandidate(n) {
					s.candidates = append(s.candidates, n)
				}
			}
		}
	}
}

func (s *Scheduler) isCandidate(n *node) bool {
	for _, other := range s.candidates {
		if other == n {
			return true
		}
	}
	return false
}

// searchAll examines every node whose cell may fit, from the emptiest cells
// down, until it has a few candidates.
func (s *Scheduler) searchAll(q *request, accelerated bool) {
	for _, g := range s.index.grids {
		if g.accelerated != accelerated || !zoneFits(q.spec.Zones, g.zone) {
			continue
		}
		w := newWalk(q, g)
		s.collect(q, w.descending(), targetCandidates, g.nodes)
	}
}
