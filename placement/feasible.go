package placement

const (
	// wantCandidates is how many feasible nodes are scored for one job.
	wantCandidates = 16
	// maxExamined bounds the nodes that one sampling pass looks at.
	maxExamined = 64
)

// feasible fills s.candidates with a bounded sample of the nodes that fit:
// half from the cells that suit the job's kind best, half from anywhere. If
// the sample finds none, an exact search follows, so that a job that fits
// somewhere is never turned away.
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
		s.exact(q, accelerated)
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

// acceleratorOrder keeps hosts with accelerators for the jobs that need them
// while any other fits.
func acceleratorOrder(q *request) []bool {
	if q.size.Accelerators > 0 {
		return acceleratedOnly
	}
	return plainFirst
}

// sample looks at up to twice maxExamined nodes of a grid.
func (s *Scheduler) sample(q *request, g *grid) {
	w := newWalk(q, g)
	if w.cpu >= levels {
		return
	}
	want := len(s.candidates) + wantCandidates/2
	s.take(q, w.ordered(q), want, maxExamined)
	want += wantCandidates / 2
	s.take(q, w.rotated(s.random.IntN(levels-w.cpu)), want, maxExamined)
}

// take examines up to limit nodes of a walk until there are want candidates.
func (s *Scheduler) take(q *request, w walk, want, limit int) {
	for row := w.first(); row >= 0; row = w.next() {
		for cells := w.cellsOf(row); cells != 0; cells &= cells - 1 {
			nodes := w.grid.nodesAt(row, cells)
			start := s.random.IntN(len(nodes))
			for i := range nodes {
				if limit == 0 || len(s.candidates) >= want {
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

// exact looks at every node whose cell may fit, from the emptiest cells down
// so that it ends early, until it has a few candidates.
func (s *Scheduler) exact(q *request, accelerated bool) {
	for _, g := range s.index.grids {
		if g.accelerated != accelerated || !zoneFits(q.spec.Zones, g.zone) {
			continue
		}
		w := newWalk(q, g)
		s.take(q, w.descending(), wantCandidates, g.nodes)
	}
}
