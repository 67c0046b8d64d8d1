package election

import (
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/relay"
)

// candidateTTL is how long a host counts as available after its last ping. It
// covers several ping intervals of 300 ms, since a host that gets no answer
// checks the owner's row before it pings again.
const candidateTTL = 2 * time.Second

// Candidates records the hosts that ping the owner, with their processors. It
// is safe for concurrent use.
type Candidates struct {
	mu        sync.Mutex
	byAddress map[string]candidate
}

// candidate is a host that could take the domain over or relay orders.
type candidate struct {
	cores float64
	zone  string
	// lastSeen is the time of the last ping, firstSeen that of the first one after
	// the host's last gap of more than candidateTTL.
	firstSeen, lastSeen time.Duration
}

// Observe records a ping at the monotonic time now from the host with the given
// address, availability zone and number of processors. A host with 0 processors
// no longer accepts the domain and is removed, as are hosts that haven't pinged
// for candidateTTL.
func (c *Candidates) Observe(address, zone string, cores float64, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, old := range c.byAddress {
		if now-old.lastSeen > candidateTTL {
			delete(c.byAddress, other)
		}
	}
	if cores <= 0 {
		delete(c.byAddress, address)
		return
	}
	if c.byAddress == nil {
		c.byAddress = map[string]candidate{}
	}
	firstSeen := now
	if old, found := c.byAddress[address]; found {
		firstSeen = old.firstSeen
	}
	c.byAddress[address] = candidate{cores: cores, zone: zone, firstSeen: firstSeen, lastSeen: now}
}

// RelayHosts returns the available hosts, which may relay orders.
func (c *Candidates) RelayHosts(now time.Duration) []relay.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []relay.Host
	for address, h := range c.byAddress {
		if now-h.lastSeen <= candidateTTL {
			all = append(all, relay.Host{Address: address, Zone: h.zone, Cores: h.cores})
		}
	}
	return all
}

// Strongest returns the number of processors of the strongest available host,
// or 0 if there is none. seenFor is the longest time that a host with as many
// processors has been available.
func (c *Candidates) Strongest(now time.Duration) (cores float64, seenFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.byAddress {
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
