package election

import (
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/relay"
)

// unseenFor is how long a host that is no longer heard of counts as there:
// hosts ask after the owner every 300 ms, and one that got no answer may look
// elsewhere for a second before it asks again.
const unseenFor = 2 * time.Second

// Candidates keeps which processors the hosts have that ask after an owner. It is
// safe for concurrent use.
type Candidates struct {
	mu   sync.Mutex
	seen map[string]rival
}

// rival is one host.
type rival struct {
	cores float64
	zone  string
	// since is when it was first heard of without a gap, last when last.
	since, last time.Duration
}

// Observe notes that a host of a zone with so many processors asked, at the time
// now of a clock that only rises. A host that can't take the domain says 0.
func (r *Candidates) Observe(host, zone string, cores float64, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, old := range r.seen {
		if now-old.last > unseenFor {
			delete(r.seen, name)
		}
	}
	if cores <= 0 {
		delete(r.seen, host)
		return
	}
	if r.seen == nil {
		r.seen = map[string]rival{}
	}
	since := now
	if old, known := r.seen[host]; known {
		since = old.since
	}
	r.seen[host] = rival{cores: cores, zone: zone, since: since, last: now}
}

// RelayHosts returns the hosts that are there and may carry orders.
func (r *Candidates) RelayHosts(now time.Duration) []relay.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []relay.Host
	for address, h := range r.seen {
		if now-h.last <= unseenFor {
			all = append(all, relay.Host{Address: address, Zone: h.zone, Cores: h.cores})
		}
	}
	return all
}

// Strongest returns the processors of the strongest host that is there, and how
// long it has been; 0 if none is.
func (r *Candidates) Strongest(now time.Duration) (cores float64, there time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.seen {
		if now-h.last > unseenFor || h.cores < cores {
			continue
		}
		if h.cores > cores {
			cores, there = h.cores, 0
		}
		there = max(there, now-h.since)
	}
	return cores, there
}
