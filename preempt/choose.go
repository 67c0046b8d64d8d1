package preempt

import (
	"slices"

	"github.com/fireflygate/fireflygate/infra"
)

// Choose returns the victims on one worker that must end for needs to fit into
// free, and the work lost with them, in core-milliseconds. Victims that lose
// the least work are chosen first. It returns false if ending all victims
// doesn't free enough capacity.
func Choose(needs, free infra.Resources, victims []Victim) (chosen []Victim, loss int64, ok bool) {
	return new(Chooser).Choose(needs, free, victims)
}

// helps reports whether a run reserves some of what is missing.
func helps(reserved, needs, free infra.Resources) bool {
	return (needs.MilliCPU > free.MilliCPU && reserved.MilliCPU > 0) ||
		(needs.MemoryMB > free.MemoryMB && reserved.MemoryMB > 0) ||
		(needs.Accelerators > free.Accelerators && reserved.Accelerators > 0)
}

// spareUnneeded drops victims that turn out not to be needed, the one that
// loses most work first.
func spareUnneeded(chosen []Victim, needs, free infra.Resources, loss int64) ([]Victim, int64, bool) {
	for i := len(chosen) - 1; i >= 0; i-- {
		if without := free.Sub(chosen[i].Reserved); needs.Fits(without) {
			free = without
			loss -= chosen[i].LostWork
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen, loss, true
}
