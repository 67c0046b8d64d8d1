package eviction

import (
	"cmp"
	"slices"
)

// maxThrottles is how many tasks one step throttles at most.
const maxThrottles = 3

// chooseThrottles returns at most limit throttles of the likeliest culprits, until what is
// estimated to be removed covers what is over the objective.
func chooseThrottles(suspects []Candidate, over float64, percent, limit int) []Decision {
	ranked := slices.DeleteFunc(slices.Clone(suspects), func(s Candidate) bool {
		return s.CPULimit <= percent || s.Effect+s.Deviation < leastBlame
	})
	slices.SortFunc(ranked, func(a, b Candidate) int {
		likelier := cmp.Compare(b.Effect+b.Deviation/2, a.Effect+a.Deviation/2)
		return cmp.Or(likelier, cmp.Compare(a.Job, b.Job))
	})
	var decisions []Decision
	for _, s := range ranked {
		if len(decisions) == limit || over <= 0 {
			break
		}
		decisions = append(decisions, Decision{Kind: Throttle, Job: s.Job, CPULimit: percent})
		over -= max(s.removed(percent), 0)
	}
	return decisions
}
