package roster

import (
	"cmp"
	"slices"

	"github.com/fireflygate/fireflygate/infra"
)

// PreferredOwners returns the live entry hosts in the order in which they should own
// a shard: rendezvous hashing, so that the loss or the arrival of a host moves
// only that host's part. For a shard of workers hosts in the workers' zone come
// first, then those in their region, so that zones and regions that lose each
// other leave runs with an owner that reaches them. It works for any shard name.
func (r Roster) PreferredOwners(shard string) []string {
	if order, ok := r.preferred[shard]; ok {
		return order
	}
	return rendezvous(shard, r.liveHosts)
}

// Successors returns up to n live entry hosts that should succeed owner: in
// the order of preference, hosts in zones of their own first, so that one
// availability zone's loss leaves a successor.
func (r Roster) Successors(shard, owner string, n int) []string {
	zones := map[string]bool{r.byName[owner].Zone: true}
	var apart, rest []string
	for _, h := range r.PreferredOwners(shard) {
		zone := r.byName[h].Zone
		switch {
		case h == owner:
		case zones[zone]:
			rest = append(rest, h)
		default:
			zones[zone] = true
			apart = append(apart, h)
		}
	}
	order := append(apart, rest...)
	return order[:min(n, len(order))]
}

// prefer works the order of every shard out, or takes it from the previous
// roster when neither the hosts nor the shard are new.
func (r *Roster) prefer(previous Roster) {
	r.preferred = make(map[string][]string, len(r.shards))
	same := slices.Equal(r.liveHosts, previous.liveHosts)
	for _, shard := range r.shards {
		order, ok := previous.preferred[shard]
		if !same || !ok {
			order = rendezvous(shard, r.liveHosts)
			r.nearFirst(shard, order)
		}
		r.preferred[shard] = order
	}
}

// nearFirst moves the hosts near the workers of a shard to the front of their
// order. Endpoint shards span zones and have no place.
func (r *Roster) nearFirst(shard string, order []string) {
	members := r.members[shard]
	if IsEndpointShard(shard) || len(members) == 0 {
		return
	}
	place := members[0]
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Compare(distance(place, r.byName[a]), distance(place, r.byName[b]))
	})
}

// distance is 0 within a zone, 1 within a region and 2 beyond.
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

// rendezvous sorts hosts by their weight for a shard, highest first. The
// library go-rendezvous gives only the first of this order.
func rendezvous(shard string, hosts []string) []string {
	type weighed struct {
		host   string
		weight uint64
	}
	all := make([]weighed, len(hosts))
	for i, h := range hosts {
		all[i] = weighed{h, hashPair(h, shard)}
	}
	slices.SortFunc(all, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host, b.host))
	})
	order := make([]string, len(all))
	for i, w := range all {
		order[i] = w.host
	}
	return order
}
