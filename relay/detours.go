package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// detourDuration is how long a worker is reached through other hosts before its
	// owner tries the usual path again. A shorter time would waste more order timeouts
	// while the path is still cut.
	detourDuration = 10 * time.Second
	// detourHostsPerZone is the number of hosts per availability zone that relay orders
	// on detours, those with most processors first.
	detourHostsPerZone = 2
	// detourHostsPerRound is the number of hosts that are tried for a worker before
	// the usual path is tried again.
	detourHostsPerRound = 4
)

// Detours chooses the hosts through which an owner reaches workers that don't answer on
// the usual path, which is direct or through their relay. The owner's link to them may
// be cut while other hosts still reach them; without a detour the leases of all runs there
// would expire.
// The zero value has no hosts.
type Detours struct {
	table   *Table
	workers map[string]*detour
}

// detour is the state of a worker that didn't answer on the usual path.
type detour struct {
	// lost counts the orders of this round that got no answer through other hosts.
	lost int
	// until is when the usual path is tried again.
	until time.Time
}

// onUsualPath reports whether the next order takes the usual path.
func (d *detour) onUsualPath(now time.Time) bool {
	return d.lost >= detourHostsPerRound || !now.Before(d.until)
}

// SetHosts replaces the hosts that can relay orders on detours.
func (d *Detours) SetHosts(hosts []Host) { d.table = NewTable(hosts, detourHostsPerZone) }

// Addresses returns the addresses of the hosts that can relay orders on detours, none
// while no worker needs a detour.
func (d *Detours) Addresses() []string {
	if len(d.workers) == 0 || d.table == nil {
		return nil
	}
	return d.table.Addresses()
}

// Count returns the number of workers that didn't answer on the usual path.
func (d *Detours) Count() int { return len(d.workers) }

// LostOnUsualPath records that a worker didn't answer an order on the usual path, which
// begins a round of detours unless one is in progress. It reports whether no other worker
// needs a detour.
func (d *Detours) LostOnUsualPath(worker string, now time.Time) (first bool) {
	if d.workers == nil {
		d.workers = map[string]*detour{}
	}
	if w := d.workers[worker]; w != nil && !w.onUsualPath(now) {
		return false // the order was sent before the round began
	}
	d.workers[worker] = &detour{until: now.Add(detourDuration)}
	return len(d.workers) == 1
}

// AnsweredOnUsualPath records that a worker answered on the usual path.
func (d *Detours) AnsweredOnUsualPath(worker string) { delete(d.workers, worker) }

// Lost records that an order to a worker got no answer through another host.
func (d *Detours) Lost(worker string) {
	if w := d.workers[worker]; w != nil {
		w.lost++
	}
}

// Forget drops the workers for which keep returns false.
func (d *Detours) Forget(keep func(worker string) bool) {
	for worker := range d.workers {
		if !keep(worker) {
			delete(d.workers, worker)
		}
	}
}

// HostFor returns the address of the host through which to send the next order to a
// worker, empty for the usual path. Each lost order moves on to the next host.
func (d *Detours) HostFor(worker, zone string, now time.Time, usable func(address string) bool) string {
	w := d.workers[worker]
	if w == nil || d.table == nil || w.onUsualPath(now) {
		return ""
	}
	hosts := d.hosts(worker, zone, usable)
	if len(hosts) == 0 {
		return ""
	}
	return hosts[w.lost%len(hosts)].Address
}

// hosts returns the usable hosts in the order in which they are tried for a worker:
// those of its own zone first, and within a zone by rendezvous hash.
func (d *Detours) hosts(worker, zone string, usable func(address string) bool) []Host {
	var own, others []Host
	for name, hosts := range d.table.zones {
		for _, h := range hosts {
			switch {
			case !usable(h.Address):
			case name == zone:
				own = append(own, h)
			default:
				others = append(others, h)
			}
		}
	}
	byHash := func(a, b Host) int {
		return cmp.Compare(xxhash.Sum64String(worker+"@"+b.Address), xxhash.Sum64String(worker+"@"+a.Address))
	}
	slices.SortFunc(own, byHash)
	slices.SortFunc(others, byHash)
	return append(own, others...)
}
