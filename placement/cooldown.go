package placement

import "time"

const (
	// cooldownImpact is the additional impact of a class on hosts that it was
	// evicted from recently.
	cooldownImpact = 1.0
	// cooldownWaits is the length of a cooldown, in multiples of EvictAfter.
	cooldownWaits = 20
)

// cooldown marks a class as recently evicted from a node.
type cooldown struct {
	class string
	until time.Time
}

func (n *node) cooldownImpact(now time.Time, class string) float64 {
	for _, c := range n.cooldowns {
		if c.class == class && now.Before(c.until) {
			return cooldownImpact
		}
	}
	return 0
}

// startCooldown makes other nodes preferred for a class until the given time.
func (n *node) startCooldown(now time.Time, class string, until time.Time) {
	kept := n.cooldowns[:0]
	for _, c := range n.cooldowns {
		if c.class != class && now.Before(c.until) {
			kept = append(kept, c)
		}
	}
	n.cooldowns = append(kept, cooldown{class: class, until: until})
}
