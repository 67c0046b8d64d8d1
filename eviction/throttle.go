package eviction

import (
	"cmp"
	"slices"
)

// maxThrottles is how many tasks one step throttles at most.
const maxThrottles = 3

// chooseThrottles returns at most limit throttles of the likeliest culprits, until what is
// estimated to be removed covers what is over the objective.
func chooseThrottles(suspects []Suspect, over float64, percent, limit int) []Decision {
	ranked := slices.DeleteFunc(slices.Clone(suspects), func(s Suspect) bool {
		return s.Percent <= percent || s.Blame+s.Deviation < leastBlame
	})
	slices.SortFunc(ranked, func(a, b Suspect) int {
		likelier := cmp.Compare(b.Blame+b.Deviation/2, a.Blame+a.Deviation/2)
		return cmp.Or(likelier, cmp.Compare(a.Job, b.Job))
	})
	var decisions []Decision
	for _, s := range ranked {
		if len(decisions) == limit || over <= 0 {
			break
		}
		decisions = append(decisions, Decision{Kind: Throttle, Job: s.Job, Percent: percent})
		over -= max(s.removed(percent), 0)
	}
	return decisions
}
