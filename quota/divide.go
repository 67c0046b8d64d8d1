package quota

import "math/bits"

// deadBand is the part of the quota, one in this many, by which a bound may
// be off its target before it is lowered: small moves of demand move nothing.
const deadBand = 64

// Divide returns each shard's new bound, computed from one common snapshot of
// reports. It is a pure function, so that owners that hold the same snapshot
// agree without asking each other.
//
// A bound is raised only by what nobody holds, while a lowered one still
// counts in full until its owner reports it. So the sum of what is held never
// exceeds the quota, whichever owners have applied the result.
func Divide(quota int64, shards []Shard) []int64 {
	targets := divideTargets(quota, shards)
	pool := quota
	raises := int64(0)
	for i, s := range shards {
		pool -= s.Held
		raises += max(targets[i]-s.Held, 0)
	}
	pool = max(pool, 0)
	tight := isTight(quota, pool, shards)
	bounds := make([]int64, len(shards))
	for i, s := range shards {
		raise := targets[i] - s.Held
		switch {
		case raise <= 0:
			bounds[i] = lowered(s, targets[i], quota, band(quota, len(shards), tight), tight)
		case raises <= pool:
			bounds[i] = targets[i]
		default:
			bounds[i] = s.Held + portion(pool, raise, raises)
		}
	}
	return bounds
}

// isTight reports whether more of the demand goes unmet than the dead band is
// worth, for want of what other shards hold and don't need.
func isTight(quota, pool int64, shards []Shard) bool {
	unmet := -pool
	for _, s := range shards {
		unmet += max(s.want()-s.Held, 0)
	}
	return unmet > quota/deadBand
}

// band is by how much one bound may be off its target. While demand goes unmet
// all shards together may be off by what otherwise one may: with many shards the
// bands of the idle ones would add up to the whole quota.
func band(quota int64, shards int, tight bool) int64 {
	if tight {
		return quota / deadBand / int64(shards)
	}
	return quota / deadBand
}

// lowered moves half of the way down to the target, or all of it where little is
// left and others need it, and not at all within the band unless the shard is
// idle and others need it; but never keeps more than the quota.
func lowered(s Shard, target, quota, band int64, tight bool) int64 {
	surplus := s.Held - target
	switch {
	case surplus <= band && (!tight || s.want() > 0):
		surplus = 0
	case !tight || surplus > quota/deadBand:
		surplus = surplus / 2
	}
	return min(s.Held-surplus, quota)
}

// divideTargets divides the quota: first what is used, then demand, to all
// the same until it is met, then the rest by capacity, so that new demand
// finds something at once.
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
	left := fill(quota-used, shards, targets)
	spread(left, shards, targets)
	return targets
}

// fill raises targets towards what shards want, all by the same, and returns
// what is left.
func fill(left int64, shards []Shard, targets []int64) int64 {
	for left > 0 {
		open, least := int64(0), int64(0)
		for i, s := range shards {
			missing := s.want() - targets[i]
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
			if s.want() > targets[i] {
				targets[i] += each
				left -= each
			}
		}
	}
	return left
}

// spread adds what is left by capacity.
func spread(left int64, shards []Shard, targets []int64) {
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

// portion is amount * part / whole, rounded down, without overflow. Part is
// at most whole.
func portion(amount, part, whole int64) int64 {
	if amount <= 0 || part <= 0 || whole <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(amount), uint64(part))
	quotient, _ := bits.Div64(high, low, uint64(whole))
	return int64(quotient)
}
