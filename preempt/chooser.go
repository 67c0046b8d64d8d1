package preempt

import (
	"cmp"
	"slices"

	"github.com/fireflygate/fireflygate/infra"
)

// Chooser chooses victims on many workers without an allocation for each.
type Chooser struct {
	order, chosen []Victim
}

// Choose is like the function Choose. The chosen victims are valid until the next call.
func (c *Chooser) Choose(needs, free infra.Resources, victims []Victim) (chosen []Victim, loss int64, ok bool) {
	if needs.Fits(free) {
		return nil, 0, true
	}
	c.order, c.chosen = append(c.order[:0], victims...), c.chosen[:0]
	slices.SortStableFunc(c.order, func(a, b Victim) int { return cmp.Compare(a.LostWork, b.LostWork) })
	for _, v := range c.order {
		if !helps(v.Reserved, needs, free) {
			continue
		}
		c.chosen = append(c.chosen, v)
		loss += v.LostWork
		free = free.Add(v.Reserved)
		if needs.Fits(free) {
			return spareUnneeded(c.chosen, needs, free, loss)
		}
	}
	return nil, 0, false
}
