package election

import "github.com/cespare/xxhash/v2"

// Candidate is what a host tells with a ping.
type Candidate struct {
	// Address is where peers connect to the host, Zone its availability zone.
	Address, Zone string
	// Cores is the number of processors that it offers, 0 if it is stopping.
	Cores float64
	// Life identifies the host's process, 0 if unknown, as with hosts of earlier
	// releases.
	Life uint64
}

// LifeOf returns the Life of a process by its incarnation: a checksum, as pings are many
// and small.
func LifeOf(incarnation string) uint64 { return max(xxhash.Sum64String(incarnation), 1) }

// anotherLife reports whether two pings are known to be of different processes.
func (c Candidate) anotherLife(other Candidate) bool {
	return c.Life != 0 && other.Life != 0 && c.Life != other.Life
}
