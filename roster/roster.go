package roster

import (
	"slices"

	"github.com/fireflygate/fireflygate/infra"
)

// Roster is the members as of one revision of the list. The zero Roster knows
// nobody. Slices and maps that its methods return must not be changed.
type Roster struct {
	revision uint64
	// byName holds every member.
	byName map[string]infra.Member
	// hosts, endpoints (by service) and workers are sorted by name.
	hosts     []infra.Member
	liveHosts []string
	endpoints map[string][]infra.Member
	workers   []infra.Member
	// members are the endpoints or workers of each shard.
	members map[string][]infra.Member
	shards  []string
	// preferred is the order of live entry hosts for each shard.
	preferred map[string][]string
	// doubts counts the lists in a row whose drops were not believed.
	doubts int
	// doubted are the members kept though the newest list lacks them.
	doubted []string
}

// Known reports whether any list was taken in.
func (r Roster) Known() bool { return r.byName != nil }

// HasUnconfirmedRemovals reports whether it keeps members that the newest list lacks.
func (r Roster) HasUnconfirmedRemovals() bool { return r.doubts > 0 }

// Revision returns the revision of the newest list taken in.
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

// EntryHosts returns every entry host, live and leaving, by name.
func (r Roster) EntryHosts() []infra.Member { return r.hosts }

// LiveHosts returns the names of the live entry hosts in order.
func (r Roster) LiveHosts() []string { return r.liveHosts }

// Endpoints returns the endpoints of a service, live and leaving, by name.
func (r Roster) Endpoints(service string) []infra.Member { return r.endpoints[service] }

// Services returns the names of the services that have endpoints, in order.
func (r Roster) Services() []string {
	names := make([]string, 0, len(r.endpoints))
	for s := range r.endpoints {
		names = append(names, s)
	}
	slices.Sort(names)
	return names
}

// Workers returns every worker, live and leaving, by name.
func (r Roster) Workers() []infra.Member { return r.workers }

// Shards returns the names of the shards that have members, in order.
func (r Roster) Shards() []string { return r.shards }

// Members returns the endpoints or workers of a shard, live and leaving, by
// name.
func (r Roster) Members(shard string) []infra.Member { return r.members[shard] }

// UnconfirmedRemovals returns the members that the newest list lacks and that are kept,
// because too many vanished at once.
func (r Roster) UnconfirmedRemovals() []string { return r.doubted }
