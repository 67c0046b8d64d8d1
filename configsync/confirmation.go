package configsync

import (
	"math/rand/v2"
	"time"
)

// recorders is how many hosts, on average, record a confirmed version at each read of
// the store. The record reaches hosts that read the store but not their peers.
const recorders = 4

// Confirmation knows the newest version that most hosts have held at once. A host puts
// a version into force only then: any majority of hosts has one that still has it, or a
// newer one, and a host that starts can learn of it without the store. The zero value
// has version 0 alone, which no host needs to hold.
type Confirmation struct {
	newest uint64
}

// Record records that most hosts have held a version at once.
func (c *Confirmation) Record(version uint64) { c.newest = max(c.newest, version) }

// Check reports whether most hosts have held a version, or a newer one, at once. This
// host must hold it.
func (c *Confirmation) Check(version uint64, peers *PeerVersions, now time.Time) bool {
	if version > c.newest && peers.HeldByMost(version, now) {
		c.newest = version
	}
	return version <= c.newest
}

// Includes reports whether a version is known to have been held by most hosts.
func (c *Confirmation) Includes(version uint64) bool { return version <= c.newest }

// ToRecord returns the version that this host should record in the store, where recorded
// is the one found there, and false if it needn't: few of the hosts do.
func (c *Confirmation) ToRecord(recorded uint64, hosts int, random *rand.Rand) (uint64, bool) {
	if c.newest <= recorded || hosts > recorders && random.IntN(hosts) >= recorders {
		return 0, false
	}
	return c.newest, true
}
