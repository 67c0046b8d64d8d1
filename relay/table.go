package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Table maps workers to the relays of their availability zones.
type Table struct {
	// zones holds the relays by availability zone.
	zones map[string][]Host
}

// NewTable selects up to perZone hosts per zone, those with most processors
// first.
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

// Addresses returns the sorted addresses of all relays.
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

// RelayFor returns the address of a worker's relay, empty if its zone has no
// usable one. Rendezvous hashing keeps the other workers in place when a relay
// is added or removed.
func (t *Table) RelayFor(worker, zone string, usable func(address string) bool) string {
	best, highest := "", uint64(0)
	for _, h := range t.zones[zone] {
		if !usable(h.Address) {
			continue
		}
		if hash := xxhash.Sum64String(worker + "@" + h.Address); best == "" || hash > highest {
			best, highest = h.Address, hash
		}
	}
	return best
}
