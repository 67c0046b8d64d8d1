package roster

import (
	"slices"

	"github.com/fireflygate/fireflygate/infra"
)

// Roster is the set of members as of one revision of the list. The zero Roster
// is empty. Callers must not modify the slices that its methods return.
type Roster struct {
	revision uint64
	// byName holds all members.
	byName map[string]infra.Member
	// hosts, endpoints (by service) and workers are sorted by name.
	hosts     []infra.Member
	liveHosts []string
	endpoints map[string][]infra.Member
	workers   []infra.Member
	// members are the endpoints or workers of each shard, sorted by name.
	members map[string][]infra.Member
	shards  []string
	// preferred is the order of live entry hosts for each shard.
	preferred map[string][]string
	// unconfirmedReads is the number of consecutive lists with unconfirmed
	// removals.
	unconfirmedReads int
	// unconfirmed are the members kept although the newest list lacks them.
	unconfirmed []string
}

// Known reports whether the roster was built from a list.
func (r Roster) Known() bool { return r.byName != nil }

// HasUnconfirmedRemovals reports whether the roster keeps members that the
// newest list lacks.
func (r Roster) HasUnconfirmedRemovals() bool { return r.unconfirmedReads > 0 }

// Revision returns the revision of the newest list.
func (r Roster) Revision() uint64 { return r.revision }

// Member returns a member by name.
func (r Roster) Member(name string) (infra.Member, bool) {
	m, ok := r.byName[name]
	return m, ok
}

// Listed reports whether an entry host is on the list, live or leaving.
func (r Roster) Listed(host string) bool {
	m, ok := r.byName[host]
	return ok && m.Kind == infra.EntryHost
}

// LiveHost reports whether an entry host is on the list and live.
func (r Roster) LiveHost(host string) bool {
	return r.Listed(host) && r.byName[host].State == infra.Live
}

// EntryHosts returns all entry hosts, live and leaving, sorted by name.
func (r Roster) EntryHosts() []infra.Member { return r.hosts }

// LiveHosts returns the sorted names of the live entry hosts.
func (r Roster) LiveHosts() []string { return r.liveHosts }

// Endpoints returns the endpoints of a service, live and leaving, sorted by
// name.
func (r Roster) Endpoints(service string) []infra.Member { return r.endpoints[service] }

// Services returns the sorted names of the services that have endpoints.
func (r Roster) Services() []string {
	names := make([]string, 0, len(r.endpoints))
	for s := range r.endpoints {
		names = append(names, s)
	}
	slices.Sort(names)
	return names
}

// Workers returns all workers, live and leaving, sorted by name.
func (r Roster) Workers() []infra.Member { return r.workers }

// Shards returns the sorted names of the shards that have members.
func (r Roster) Shards() []string { return r.shards }

// Members returns the endpoints or workers of a shard, live and leaving, sorted
// by name.
func (r Roster) Members(shard string) []infra.Member { return r.members[shard] }

// UnconfirmedRemovals returns the names of the members that the newest list
// lacks but that are kept, because too many are missing at once.
func (r Roster) UnconfirmedRemovals() []string { return r.unconfirmed }
