package roster

import (
	"cmp"
	"slices"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
)

// RemovalConfirmations is how many lists in a row must lack a member before its absence
// is believed, when more than half of the members of its kind vanished at
// once. A broken or half-read list would otherwise end the work of a whole
// site; a list that lacks up to half is believed at once, so that the loss of
// an availability zone is. Absences that leave no member of a kind are never
// believed. Everything else that such a list says is taken as it stands.
const RemovalConfirmations = 20

// Build returns the roster after one more list was read. A list older than the
// previous one is passed over. The zero previous Roster believes any list.
func Build(previous Roster, list infra.MemberList, lease settings.Lease) Roster {
	if previous.Known() && list.Revision < previous.revision {
		return previous
	}
	r := Roster{revision: list.Revision, byName: make(map[string]infra.Member, len(list.Members))}
	for _, m := range list.Members {
		r.byName[m.Name] = m
	}
	r.keepDoubted(previous)
	r.group(lease)
	r.prefer(previous)
	return r
}

// keepDoubted adds the members whose absence is not believed.
func (r *Roster) keepDoubted(previous Roster) {
	for _, kind := range []infra.MemberKind{infra.EntryHost, infra.Endpoint, infra.Worker} {
		gone, before := r.vanished(previous, kind)
		if 2*len(gone) <= before {
			continue
		}
		if len(gone) < before && previous.doubts+1 >= RemovalConfirmations {
			continue
		}
		for _, m := range gone {
			r.byName[m.Name] = m
			r.doubted = append(r.doubted, m.Name)
		}
	}
	slices.Sort(r.doubted)
	if len(r.doubted) > 0 {
		r.doubts = previous.doubts + 1
	}
}

// vanished returns the members of a kind that the previous roster has and this
// one lacks, and how many the previous one has.
func (r *Roster) vanished(previous Roster, kind infra.MemberKind) ([]infra.Member, int) {
	var gone []infra.Member
	before := 0
	for name, m := range previous.byName {
		if m.Kind != kind {
			continue
		}
		before++
		if _, ok := r.byName[name]; !ok {
			gone = append(gone, m)
		}
	}
	return gone, before
}

// group sorts the members by kind, service and shard.
func (r *Roster) group(lease settings.Lease) {
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

// sortByName sorts members by name.
func sortByName(members []infra.Member) {
	slices.SortFunc(members, func(a, b infra.Member) int { return cmp.Compare(a.Name, b.Name) })
}
