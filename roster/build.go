package roster

import (
	"cmp"
	"slices"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
)

// RemovalConfirmations is the number of consecutive lists that must lack a
// member before it is removed, if more than half of the members of its kind
// are missing at once. This guards against truncated lists; smaller removals,
// such as the loss of an availability zone, apply immediately. A list without
// any member of a kind never removes the members of that kind. Additions and
// changes always apply.
const RemovalConfirmations = 20

// Build returns the roster that results from applying list to previous. A list
// with an older revision is ignored. If previous is the zero Roster, any list
// is accepted in full.
func Build(previous Roster, list infra.MemberList, lease settings.Lease) Roster {
	if previous.Known() && list.Revision < previous.revision {
		return previous
	}
	r := Roster{revision: list.Revision, byName: make(map[string]infra.Member, len(list.Members))}
	for _, m := range list.Members {
		r.byName[m.Name] = m
	}
	r.keepUnconfirmed(previous)
	r.groupMembers(lease)
	r.computePreferred(previous)
	return r
}

// keepUnconfirmed adds the members whose removal is not confirmed.
func (r *Roster) keepUnconfirmed(previous Roster) {
	for _, kind := range []infra.MemberKind{infra.EntryHost, infra.Endpoint, infra.Worker} {
		removed, total := r.missing(previous, kind)
		if 2*len(removed) <= total {
			continue
		}
		if len(removed) < total && previous.unconfirmedReads+1 >= RemovalConfirmations {
			continue
		}
		for _, m := range removed {
			r.byName[m.Name] = m
			r.unconfirmed = append(r.unconfirmed, m.Name)
		}
	}
	slices.Sort(r.unconfirmed)
	if len(r.unconfirmed) > 0 {
		r.unconfirmedReads = previous.unconfirmedReads + 1
	}
}

// missing returns the members of a kind that are in previous but not in r, and
// the total number of that kind in previous.
func (r *Roster) missing(previous Roster, kind infra.MemberKind) ([]infra.Member, int) {
	var removed []infra.Member
	total := 0
	for name, m := range previous.byName {
		if m.Kind != kind {
			continue
		}
		total++
		if _, ok := r.byName[name]; !ok {
			removed = append(removed, m)
		}
	}
	return removed, total
}

// groupMembers builds the sorted lists of members by kind, service and shard.
func (r *Roster) groupMembers(lease settings.Lease) {
	r.endpoints = map[string][]infra.Member{}
	r.members = map[string][]infra.Member{}
	for _, m := range r.byName {
		switch m.Kind {
		case infra.EntryHost:
			r.hosts = append(r.hosts, m)
		case infra.Endpoint:
			r.endpoints[m.Service] = append(r.endpoints[m.Service], m)
			shard := EndpointShardOf(m, lease)
			r.members[shard] = append(r.members[shard], m)
		case infra.Worker:
			r.workers = append(r.workers, m)
			shard := WorkerShardOf(m, lease)
			r.members[shard] = append(r.members[shard], m)
		}
	}
	sortByName(r.hosts)
	sortByName(r.workers)
	for _, of := range r.endpoints {
		sortByName(of)
	}
	for shard, of := range r.members {
		sortByName(of)
		r.shards = append(r.shards, shard)
	}
	slices.Sort(r.shards)
	for _, h := range r.hosts {
		if h.State == infra.Live {
			r.liveHosts = append(r.liveHosts, h.Name)
		}
	}
}

func sortByName(members []infra.Member) {
	slices.SortFunc(members, func(a, b infra.Member) int { return cmp.Compare(a.Name, b.Name) })
}
