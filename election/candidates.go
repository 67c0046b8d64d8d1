package election

import (
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/relay"
)

// candidateTTL is how long a host counts as available after its last ping.
// Hosts ping the owner every 300 ms, but after a lost answer they check the
// owner's row first.
const candidateTTL = 2 * time.Second

// Candidates records the hosts that ping the owner, with their processors. It
// is safe for concurrent use.
type Candidates struct {
	mu   sync.Mutex
	seen map[string]candidate
}

// candidate is a host that could take the domain over or relay orders.
type candidate struct {
	cores float64
	zone  string
	// firstSeen is the first ping since the host was last unavailable.
	firstSeen, lastSeen time.Duration
}

// Observe records a ping at the monotonic time now from a host with the given
// availability zone and number of processors; 0 processors mean that the host
// no longer accepts the domain.
func (c *Candidates) Observe(host, zone string, cores float64, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, old := range c.seen {
		if now-old.lastSeen > candidateTTL {
			delete(c.seen, name)
		}
	}
	if cores <= 0 {
		delete(c.seen, host)
		return
	}
	if c.seen == nil {
		c.seen = map[string]candidate{}
	}
	firstSeen := now
	if old, found := c.seen[host]; found {
		firstSeen = old.firstSeen
	}
	c.seen[host] = candidate{cores: cores, zone: zone, firstSeen: firstSeen, lastSeen: now}
}

// RelayHosts returns the available hosts, which may relay orders.
func (c *Candidates) RelayHosts(now time.Duration) []relay.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []relay.Host
	for address, h := range c.seen {
		if now-h.lastSeen <= candidateTTL {
			all = append(all, relay.Host{Address: address, Zone: h.zone, Cores: h.cores})
		}
	}
	return all
}

// Strongest returns the number of processors of the strongest available host
// and how long such a host has been available, or 0 if there is none.
func (c *Candidates) Strongest(now time.Duration) (cores float64, seenFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.seen {
		if now-h.lastSeen > candidateTTL || h.cores < cores {
			continue
		}
		if h.cores > cores {
			cores, seenFor = h.cores, 0
		}
		seenFor = max(seenFor, now-h.firstSeen)
	}
	return cores, seenFor
}
