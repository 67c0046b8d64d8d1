package eviction

import (
	"cmp"
	"slices"
)

// maxThrottles bounds the throttles of one call of Decide.
const maxThrottles = 3

// chooseThrottles returns at most limit throttles of the tasks with the
// largest effects, until their estimated reduction covers excess.
func chooseThrottles(candidates []Candidate, excess float64, percent, limit int) []Decision {
	ranked := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return c.CPULimit <= percent || c.Effect+c.Deviation < minEffect
	})
	slices.SortFunc(ranked, func(a, b Candidate) int {
		byEffect := cmp.Compare(b.Effect+b.Deviation/2, a.Effect+a.Deviation/2)
		return cmp.Or(byEffect, cmp.Compare(a.Job, b.Job))
	})
	var decisions []Decision
	for _, c := range ranked {
		if len(decisions) == limit || excess <= 0 {
			break
		}
		decisions = append(decisions, Decision{Kind: Throttle, Job: c.Job, CPULimit: percent})
		excess -= max(c.reduction(percent), 0)
	}
	return decisions
}
