package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Table says which host carries the orders to a worker.
type Table struct {
	// zones holds the relays of each availability zone.
	zones map[string][]Host
}

// NewTable selects the strongest hosts of each zone, at most perZone of them.
func NewTable(hosts []Host, perZone int) *Table {
	t := &Table{zones: map[string][]Host{}}
	for _, h := range hosts {
		t.zones[h.Zone] = append(t.zones[h.Zone], h)
	}
	for zone, all := range t.zones {
		slices.SortFunc(all, func(a, b Host) int {
			return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Address, b.Address))
		})
		t.zones[zone] = all[:min(perZone, len(all))]
	}
	return t
}

// Addresses returns the addresses of all relays, in order.
func (t *Table) Addresses() []string {
	var all []string
	for _, hosts := range t.zones {
		for _, h := range hosts {
			all = append(all, h.Address)
		}
	}
	slices.Sort(all)
	return all
}

// RelayFor returns the relay of a worker: one of those in its zone, by rendezvous
// hash, so that a relay that comes or goes moves only the workers that it gains
// or had. Empty if its zone has none that may be used.
func (t *Table) RelayFor(worker, zone string, usable func(address string) bool) string {
	best, most := "", uint64(0)
	for _, h := range t.zones[zone] {
		if !usable(h.Address) {
			continue
		}
		if n := xxhash.Sum64String(worker + "@" + h.Address); best == "" || n > most {
			best, most = h.Address, n
		}
	}
	return best
}
