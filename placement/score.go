package placement

import (
	"math"

	"github.com/fireflygate/fireflygate/task"
)

// Weights of the parts of a score.
const (
	weightImpact        = 4.0
	weightSpread        = 1.0
	weightPacking       = 1.0
	weightLowImpact     = 0.5
	weightConsolidation = 2.0
)

// best returns the candidate with the highest score, the first by name among
// equals, and its expected impact.
func (s *Scheduler) best(q *request, candidates []*node) (chosen *node, impact float64) {
	highest := math.Inf(-1)
	for _, n := range candidates {
		expected := s.impact(q, n)
		score := s.score(q, n) - weightImpact*expected
		if score > highest || (score == highest && n.host.Name < chosen.host.Name) {
			chosen, impact, highest = n, expected, score
		}
	}
	return chosen, impact
}

// score returns the score without the impact; each part is between about -1
// and 1.
func (s *Scheduler) score(q *request, n *node) float64 {
	if q.spec.QoS == task.LatencyCritical {
		score := weightSpread * s.spread.score(q, n)
		if q.consolidates(n) {
			score += weightConsolidation * q.consolidation(n)
		}
		return score
	}
	return weightPacking*packing(q, n) - weightLowImpact*s.lowImpactPenalty(q, n)
}
