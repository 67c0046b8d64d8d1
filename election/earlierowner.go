package election

import "time"

// Validity is how long after the start of its last applied commit an owner gives
// orders. It spans an outage of the table service, during which nobody can replace
// the owner. A replaced owner is notified or its orders are fenced; the bound covers
// workers that only it can reach.
const Validity = 20 * time.Second

// MinorityValidity is how long after the start of its last applied commit an owner gives
// orders whether or not workers accept them. Later it gives them only while more than half of
// the workers have accepted an order made within AcceptanceWindow. An owner that is cut off
// with a few workers so stops before Validity.
const MinorityValidity = 3 * time.Second

// AcceptanceWindow is how long an accepted order counts as accepted. It spans two long polls.
const AcceptanceWindow = 5 * time.Second

// acceptanceSlack covers the time between an owner's look at its clocks and the order that
// follows.
const acceptanceSlack = 250 * time.Millisecond

// maxClockDrift is how much slower than another host's the clock of a host may run.
const maxClockDrift = 0.02

// leaseRetention is how long an owner that has stopped stays listed. It exceeds every
// lease, so that later owners know until when those that it gave may last.
const leaseRetention = 20 * time.Second

// EarlierOwner is an owner that was replaced. It may still give orders, since it may
// not know of its replacement, or leases that it gave may not be over.
type EarlierOwner struct {
	// Host is the owner's name, Address its address for peers.
	Host    string `msgpack:"h"`
	Address string `msgpack:"a"`
	// Incarnation identifies the owner's process.
	Incarnation string `msgpack:"i"`
	Epoch       uint64 `msgpack:"e"`
	// OrdersMS bounds how long after the commit of the row that lists it the owner
	// may give orders, in milliseconds. It is negative or 0 if the owner had stopped
	// that long before.
	OrdersMS int64 `msgpack:"m"`
	// LimitsLeases is set if the owner gave leases within Limits. CommitAgeMS is then the
	// least time between the start of its last commit and the commit of the row that lists
	// it, and LeasesMS how long after that its last lease may last, 0 if unknown; both in
	// milliseconds. RosterEpochs is what its row said.
	LimitsLeases bool         `msgpack:"b,omitempty"`
	Limits       *LeaseLimits `msgpack:"v,omitempty"`
	RosterEpochs bool         `msgpack:"r,omitempty"`
	CommitAgeMS  int64        `msgpack:"c,omitempty"`
	LeasesMS     int64        `msgpack:"l,omitempty"`
	// Workers is the size of the roster that it has left, 0 if unknown, and Removed the number of
	// workers that later owners may have removed from the roster.
	Workers int `msgpack:"n,omitempty"`
	Removed int `msgpack:"d,omitempty"`
}

// Stopped reports whether the owner gives no more orders.
func (e *EarlierOwner) Stopped() bool { return e.OrdersMS <= 0 }

// maxEarlierOwners bounds the owners that a row lists, so that it stays small where many
// owners end before their first commit.
const maxEarlierOwners = 32

// earlierOwners returns the owners that a row lists by which self replaces the owner
// of the row previous, whose commit began at least age before: those of that row and its own
// owner. An owner that has resigned gives no more orders. Neither does an earlier owner of the
// same process, nor one at the same address, whose process has terminated.
func earlierOwners(previous, self *Record, age time.Duration) []EarlierOwner {
	var all []EarlierOwner
	for _, e := range previous.Earlier {
		if older, listed := e.after(age); listed {
			all = append(all, older)
		}
	}
	if previous.Host != "" && !previous.ListsEarlier && previous.Epoch > 1 {
		// Unknown, as the previous owner is of a release that lists nobody.
		all = append(all, EarlierOwner{Epoch: previous.Epoch - 1, OrdersMS: withDrift(Validity).Milliseconds()})
	}
	if previous.Host != "" {
		all = append(all, EarlierOwner{
			Host: previous.Host, Address: previous.Address, Incarnation: previous.Incarnation, Epoch: previous.Epoch,
			OrdersMS: withDrift(Validity).Milliseconds(), LimitsLeases: previous.LimitsLeases, Limits: previous.Limits, RosterEpochs: previous.RosterEpochs, CommitAgeMS: age.Milliseconds(),
		})
	}
	for i := range all {
		e := &all[i]
		resigned := previous.Resigned && e.Epoch == previous.Epoch
		if resigned || (e.Host != "" && e.Incarnation == self.Incarnation) || (e.Address != "" && e.Address == self.Address) {
			e.OrdersMS = min(e.OrdersMS, 0)
		}
	}
	for len(all) > maxEarlierOwners {
		all[1] = all[0].merge(&all[1])
		all = all[1:]
	}
	return all
}

// merge returns an unnamed owner that stands for both: it may have given leases since
// the earlier epoch, and may give orders until the later time.
func (e *EarlierOwner) merge(other *EarlierOwner) EarlierOwner {
	merged := EarlierOwner{Epoch: min(e.Epoch, other.Epoch), OrdersMS: max(e.OrdersMS, other.OrdersMS)}
	if e.LeasesMS != 0 && other.LeasesMS != 0 {
		merged.LeasesMS = max(e.LeasesMS, other.LeasesMS)
	}
	return merged
}

// after returns the owner as a row lists it that is committed at least age later, and whether
// its leases may still last then.
func (e EarlierOwner) after(age time.Duration) (older EarlierOwner, listed bool) {
	ms := age.Milliseconds()
	if e.LeasesMS != 0 && e.LeasesMS <= ms {
		return EarlierOwner{}, false
	}
	if e.LeasesMS != 0 {
		e.LeasesMS -= ms
	}
	e.OrdersMS -= ms
	e.CommitAgeMS += ms
	return e, true
}

// withDrift returns the longest time that passes here while d passes on another
// host's clock.
func withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + maxClockDrift))
}
