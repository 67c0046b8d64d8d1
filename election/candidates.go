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
	Candidate
	// lastSeen is the time of the last ping, firstSeen that of the first one of this
	// life after the last gap of more than candidateTTL.
	firstSeen, lastSeen time.Duration
}

// Observe records a ping of a host at the monotonic time now. A host with 0 processors
// no longer accepts the domain and is removed, as are hosts that haven't pinged
// for candidateTTL.
func (c *Candidates) Observe(host Candidate, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, old := range c.byAddress {
		if now-old.lastSeen > candidateTTL {
			delete(c.byAddress, other)
		}
	}
	old, found := c.byAddress[host.Address]
	if host.Cores <= 0 {
		if found && !host.anotherLife(old.Candidate) {
			delete(c.byAddress, host.Address)
		}
		return
	}
	if c.byAddress == nil {
		c.byAddress = map[string]candidate{}
	}
	firstSeen := now
	if found && !host.anotherLife(old.Candidate) {
		firstSeen = old.firstSeen
	}
	c.byAddress[host.Address] = candidate{Candidate: host, firstSeen: firstSeen, lastSeen: now}
}

// RelayHosts returns the available hosts, which may relay orders.
func (c *Candidates) RelayHosts(now time.Duration) []relay.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []relay.Host
	for address, h := range c.byAddress {
		if now-h.lastSeen <= candidateTTL {
			all = append(all, relay.Host{Address: address, Zone: h.Zone, Cores: h.Cores})
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
		if now-h.lastSeen > candidateTTL || h.Cores < cores {
			continue
		}
		if h.Cores > cores {
			cores, seenFor = h.Cores, 0
		}
		seenFor = max(seenFor, now-h.firstSeen)
	}
	return cores, seenFor
}
