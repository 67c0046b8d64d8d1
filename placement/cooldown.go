package placement

import "time"

const (
	// coolingHarm is added on hosts that the class was evicted from lately.
	coolingHarm = 1.0
	// coolingWaits is how long that is, in waits before an eviction.
	coolingWaits = 20
)

// cooldown keeps a class off a node after an eviction.
type cooldown struct {
	class string
	until time.Time
}

func (n *node) coolingHarm(now time.Time, class string) float64 {
	for _, c := range n.cooling {
		if c.class == class && now.Before(c.until) {
			return coolingHarm
		}
	}
	return 0
}

// cool keeps a class off a node until a time, as far as there is a choice.
func (n *node) cool(now time.Time, class string, until time.Time) {
	kept := n.cooling[:0]
	for _, c := range n.cooling {
		if c.class != class && now.Before(c.until) {
			kept = append(kept, c)
		}
	}
	n.cooling = append(kept, cooldown{class: class, until: until})
}
