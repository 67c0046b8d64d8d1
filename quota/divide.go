package quota

import "math/bits"

// deadBand determines by how much a bound may exceed its target without being
// lowered: by quota/deadBand. It keeps bounds stable under small changes of
// demand.
const deadBand = 64

// Divide returns the new bound of each shard, computed from one consistent set
// of reports. It is deterministic.
//
// Bounds are raised only by amounts that no shard holds; a lowered bound counts
// in full until the shard's owner reports the lower one. The sum held therefore
// never exceeds the quota, whichever owners have applied the result.
func Divide(quota int64, shards []Shard) []int64 {
	targets := divideTargets(quota, shards)
	pool := quota
	raises := int64(0)
	for i, s := range shards {
		pool -= s.Held
		raises += max(targets[i]-s.Held, 0)
	}
	pool = max(pool, 0)
	contended := isContended(quota, pool, shards)
	bounds := make([]int64, len(shards))
	for i, s := range shards {
		raise := targets[i] - s.Held
		switch {
		case raise <= 0:
			bounds[i] = reduceBound(s, targets[i], quota, band(quota, len(shards), contended), contended)
		case raises <= pool:
			bounds[i] = targets[i]
		default:
			bounds[i] = s.Held + portion(pool, raise, raises)
		}
	}
	return bounds
}

// isContended reports whether the demand that exceeds the shards' bounds, less
// the pool that no shard holds, is larger than the dead band.
func isContended(quota, pool int64, shards []Shard) bool {
	unmet := -pool
	for _, s := range shards {
		unmet += max(s.totalDemand()-s.Held, 0)
	}
	return unmet > quota/deadBand
}

// band returns by how much a bound may exceed its target without being lowered.
// Under contention all shards share one dead band, because those of many idle
// shards could add up to the whole quota.
func band(quota int64, shards int, contended bool) int64 {
	if contended {
		return quota / deadBand / int64(shards)
	}
	return quota / deadBand
}

// reduceBound returns the shard's bound lowered towards its target, and never
// more than the quota. It removes half of the surplus, or under contention all
// of a surplus within the dead band. A surplus within band stays, unless the
// shard is idle under contention.
func reduceBound(s Shard, target, quota, band int64, contended bool) int64 {
	surplus := s.Held - target
	switch {
	case surplus <= band && (!contended || s.totalDemand() > 0):
		surplus = 0
	case !contended || surplus > quota/deadBand:
		surplus = surplus / 2
	}
	return min(s.Held-surplus, quota)
}

// divideTargets returns the target of each shard. It covers usage first, then
// demand in equal shares, and divides the rest in proportion to capacity so
// that new demand can be met without waiting for a division.
func divideTargets(quota int64, shards []Shard) []int64 {
	targets := make([]int64, len(shards))
	used := int64(0)
	for _, s := range shards {
		used += s.Used
	}
	if used >= quota {
		for i, s := range shards {
			targets[i] = portion(quota, s.Used, used)
		}
		return targets
	}
	for i, s := range shards {
		targets[i] = s.Used
	}
	left := meetDemand(quota-used, shards, targets)
	spreadByCapacity(left, shards, targets)
	return targets
}

// meetDemand raises the targets of shards with unmet demand by equal amounts
// until the demand is met or left is used up, and returns the remainder.
func meetDemand(left int64, shards []Shard, targets []int64) int64 {
	for left > 0 {
		open, least := int64(0), int64(0)
		for i, s := range shards {
			missing := s.totalDemand() - targets[i]
			if missing <= 0 {
				continue
			}
			if open == 0 || missing < least {
				least = missing
			}
			open++
		}
		if open == 0 {
			return left
		}
		each := min(least, left/open)
		if each == 0 {
			return left
		}
		for i, s := range shards {
			if s.totalDemand() > targets[i] {
				targets[i] += each
				left -= each
			}
		}
	}
	return left
}

// spreadByCapacity adds left to the targets in proportion to capacity.
func spreadByCapacity(left int64, shards []Shard, targets []int64) {
	capacity := int64(0)
	for _, s := range shards {
		capacity += s.Capacity
	}
	if capacity <= 0 {
		return
	}
	for i, s := range shards {
		targets[i] += portion(left, s.Capacity, capacity)
	}
}

// portion returns amount * part / whole, rounded down, without overflow. Part
// must be at most whole.
func portion(amount, part, whole int64) int64 {
	if amount <= 0 || part <= 0 || whole <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(amount), uint64(part))
	quotient, _ := bits.Div64(high, low, uint64(whole))
	return int64(quotient)
}
