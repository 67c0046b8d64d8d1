package dispatch

import (
	"maps"
	"time"
)

// claim is the claim of a queue below its guaranteed share.
type claim struct {
	// since is when a cycle first left part of the claim unmet, zero if the last one
	// met it.
	since time.Time
	// nextReclaim is when capacity may be reclaimed for it again.
	nextReclaim time.Time
	// unmetAt is the last cycle that left part of it unmet.
	unmetAt time.Time
}

// recordClaims records which claims the cycle has left unmet. It changes nothing if a limit
// was reached, as steps were then left untried.
func (c *cycle) recordClaims(limitReached bool) {
	if limitReached {
		return
	}
	for _, p := range c.shares {
		for i := range p.Queues {
			if p.Claim(i) == 0 {
				continue
			}
			name := p.Queues[i].Name
			if c.s.claims[name] == nil {
				c.s.claims[name] = &claim{since: c.now}
			}
			c.s.claims[name].unmetAt = c.now
		}
	}
	maps.DeleteFunc(c.s.claims, func(_ string, cl *claim) bool { return !cl.unmetAt.Equal(c.now) })
}
