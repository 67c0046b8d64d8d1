package roster

import (
	"cmp"
	"slices"

	"github.com/fireflygate/fireflygate/infra"
)

// PreferredOwners returns the live entry hosts in order of preference as owner
// of a shard, which may have any name. The order is by rendezvous hashing, so
// that adding or removing a host moves only the shards of that host. For a
// shard of workers, hosts in the workers' zone come first, then those in their
// region, so that a network partition between zones or regions separates few
// runs from their owners.
func (r Roster) PreferredOwners(shard string) []string {
	if order, ok := r.preferred[shard]; ok {
		return order
	}
	return rendezvous(shard, r.liveHosts)
}

// Successors returns up to n live entry hosts to succeed owner, in order of
// preference. The first host of each other availability zone comes before the
// rest, so that a successor survives the loss of one zone.
func (r Roster) Successors(shard, owner string, n int) []string {
	zones := map[string]bool{r.byName[owner].Zone: true}
	var otherZones, rest []string
	for _, h := range r.PreferredOwners(shard) {
		zone := r.byName[h].Zone
		switch {
		case h == owner:
		case zones[zone]:
			rest = append(rest, h)
		default:
			zones[zone] = true
			otherZones = append(otherZones, h)
		}
	}
	order := append(otherZones, rest...)
	return order[:min(n, len(order))]
}

// computePreferred computes the preferred owners of every shard, reusing those
// of the previous roster if the live hosts are the same.
func (r *Roster) computePreferred(previous Roster) {
	r.preferred = make(map[string][]string, len(r.shards))
	same := slices.Equal(r.liveHosts, previous.liveHosts)
	for _, shard := range r.shards {
		order, ok := previous.preferred[shard]
		if !same || !ok {
			order = rendezvous(shard, r.liveHosts)
			r.sortByDistance(shard, order)
		}
		r.preferred[shard] = order
	}
}

// sortByDistance stably sorts the hosts by their distance to the workers of a
// shard. Endpoint shards span zones and keep their order.
func (r *Roster) sortByDistance(shard string, order []string) {
	members := r.members[shard]
	if IsEndpointShard(shard) || len(members) == 0 {
		return
	}
	member := members[0]
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Compare(distance(member, r.byName[a]), distance(member, r.byName[b]))
	})
}

// distance returns 0 within a zone, 1 within a region and 2 across regions.
func distance(a, b infra.Member) int {
	switch {
	case a.Region != b.Region:
		return 2
	case a.Zone != b.Zone:
		return 1
	default:
		return 0
	}
}

// rendezvous returns the hosts sorted by their hash weight for a shard, highest
// first. The library go-rendezvous returns only the first host.
func rendezvous(shard string, hosts []string) []string {
	type weightedHost struct {
		host   string
		weight uint64
	}
	all := make([]weightedHost, len(hosts))
	for i, h := range hosts {
		all[i] = weightedHost{h, hashPair(h, shard)}
	}
	slices.SortFunc(all, func(a, b weightedHost) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host, b.host))
	})
	order := make([]string, len(all))
	for i, w := range all {
		order[i] = w.host
	}
	return order
}
