package gate

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/gateway"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/roster"
	"github.com/fireflygate/fireflygate/routing"
)

// reapplyInterval is how often an unchanged membership list is applied again,
// in case a component missed it while the host started.
const reapplyInterval = 10 * time.Second

// appliedMembership is the membership list and configuration version that were
// last applied to all components.
type appliedMembership struct {
	list   infra.MemberList
	config uint64
	at     time.Time
}

// matches reports whether the list and the configuration version are already
// applied. It also compares the members, since a membership service that lost
// its state may restart its revisions.
func (t appliedMembership) matches(list infra.MemberList, config uint64) bool {
	return t.config == config && t.list.Revision == list.Revision && slices.Equal(t.list.Members, list.Members)
}

// applyMembers applies a membership list to all components. The poller calls it
// with each list that it reads. A list that is already applied is skipped, except
// every reapplyInterval, and while the roster has unconfirmed removals: a removal
// is confirmed by applying further lists that lack the member.
func (g *Gate) applyMembers(list infra.MemberList) {
	before := g.roster.Load()
	version, _ := g.watcher.Version()
	now := g.deps.Now()
	fresh := now.Sub(g.applied.at) < reapplyInterval
	if before.Known() && !before.HasUnconfirmedRemovals() && fresh && g.applied.matches(list, version) {
		return
	}
	g.applied = appliedMembership{list: list, config: version, at: now}
	r := roster.Build(*before, list, g.local.Lease)
	g.roster.Store(&r)
	peers := g.updatePeers(r)
	g.gateway.SetEndpoints(endpointsOf(r))
	g.batch.SetWorkers(workersOf(r))
	g.updateOwnership()
	g.configSync.setHosts(peers) // may put a version into force
	g.becomeReady()
}

// updatePeers passes the other entry hosts to the components and returns their names.
func (g *Gate) updatePeers(r roster.Roster) []string {
	addresses := map[string]string{}
	var hosts []gateway.PeerHost
	var names []string
	for _, m := range r.EntryHosts() {
		if m.Name == g.local.Host.Name {
			continue
		}
		addresses[m.Name] = m.Address
		hosts = append(hosts, gateway.PeerHost{Name: m.Name, Zone: m.Zone})
		names = append(names, m.Name)
	}
	g.peers.SetPeers(addresses)
	g.gateway.SetPeers(hosts)
	return names
}

// endpointsOf returns all endpoints with their shards.
func endpointsOf(r roster.Roster) []routing.Endpoint {
	var out []routing.Endpoint
	for _, shard := range r.Shards() {
		if isWorkerShard(shard) {
			continue
		}
		for _, m := range r.Members(shard) {
			out = append(out, routing.Endpoint{
				Name: m.Name, Service: m.Service, Address: m.Address, Zone: m.Zone, Shard: shard,
				Slots: m.Slots, Connections: m.Connections, Leaving: m.State == infra.Leaving,
			})
		}
	}
	return out
}

func workersOf(r roster.Roster) map[string][]infra.Member {
	out := map[string][]infra.Member{}
	for _, shard := range r.Shards() {
		if isWorkerShard(shard) {
			out[shard] = r.Members(shard)
		}
	}
	return out
}
