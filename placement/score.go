package placement

import (
	"math"

	"github.com/fireflygate/fireflygate/task"
)

// The weights of the scores against each other.
const (
	weightSpread  = 1.0
	weightPacking = 1.0
)

// best returns the candidate with the highest score; the first by name among
// equals.
func (s *Scheduler) best(q *request, candidates []*node) *node {
	var chosen *node
	highest := math.Inf(-1)
	for _, n := range candidates {
		score := s.score(q, n)
		if score > highest || (score == highest && n.host.Name < chosen.host.Name) {
			chosen, highest = n, score
		}
	}
	return chosen
}

// score weighs the scores; each lies between about -1 and 1.
func (s *Scheduler) score(q *request, n *node) float64 {
	if q.spec.QoS == task.LatencyCritical {
		return weightSpread * s.spread.score(q, n)
	}
	return weightPacking * packing(q, n)
}
