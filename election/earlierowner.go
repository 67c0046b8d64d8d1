package election

import (
	"slices"
	"time"
)

// Validity is how long after the start of its last applied commit an owner gives
// orders. It spans an outage of the table service, during which nobody can replace
// the owner. A replaced owner is notified or its orders are fenced; the bound covers
// workers that only it can reach.
const Validity = 20 * time.Second

// maxClockDrift is how much slower than another host's the clock of a host may run.
const maxClockDrift = 0.02

// EarlierOwner is an owner that was replaced and may still give orders, since it
// may not know of its replacement.
type EarlierOwner struct {
	// Host is the owner's name, Address its address for peers.
	Host    string `msgpack:"h"`
	Address string `msgpack:"a"`
	// Incarnation identifies the owner's process.
	Incarnation string `msgpack:"i"`
	Epoch       uint64 `msgpack:"e"`
	// OrdersMS bounds how long after the commit of the row that lists it the owner
	// may give orders, in milliseconds.
	OrdersMS int64 `msgpack:"m"`
}

// earlierOwners returns the owners that may still give orders once self has replaced
// the owner of the row previous: those that the row lists and its own owner. An
// owner that has resigned gives no more orders. Neither does an earlier owner of
// the same process, nor one at the same address, whose process has terminated.
func earlierOwners(previous, self *Record) []EarlierOwner {
	all := slices.Clone(previous.Earlier)
	if previous.Host != "" && !previous.Resigned {
		all = append(all, EarlierOwner{
			Host: previous.Host, Address: previous.Address, Incarnation: previous.Incarnation, Epoch: previous.Epoch,
			OrdersMS: withDrift(Validity).Milliseconds(),
		})
	}
	return slices.DeleteFunc(all, func(e EarlierOwner) bool {
		return e.Incarnation == self.Incarnation || (e.Address != "" && e.Address == self.Address)
	})
}

// withDrift returns the longest time that passes here while d passes on another
// host's clock.
func withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + maxClockDrift))
}
