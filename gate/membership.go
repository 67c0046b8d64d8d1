package gate

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/gateway"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/roster"
	"github.com/fireflygate/fireflygate/routing"
)

// refeedAfter is when the parts are fed again with a list that did not change,
// so that whatever one of them missed while the host started is made good.
const refeedAfter = 10 * time.Second

// takenList is the membership list, and the version of the configuration, that
// every part was last fed with.
type takenList struct {
	list   infra.MemberList
	config uint64
	at     time.Time
}

// same reports whether feeding the parts again would change nothing. Members
// are compared too: a service that lost its state may count revisions anew.
func (t takenList) same(list infra.MemberList, config uint64) bool {
	return t.config == config && t.list.Revision == list.Revision && slices.Equal(t.list.Members, list.Members)
}

// takeList feeds every part with a membership list. The poller calls it. While
// a roster doubts absences each reading counts, changed or not.
func (g *Gate) takeList(list infra.MemberList) {
	before := g.roster.Load()
	version, _ := g.watcher.Version()
	now := g.deps.Now()
	fresh := now.Sub(g.taken.at) < refeedAfter
	if before.Known() && !before.HasUnconfirmedRemovals() && fresh && g.taken.same(list, version) {
		return
	}
	g.taken = takenList{list: list, config: version, at: now}
	r := roster.Build(*before, list, g.local.Lease)
	g.roster.Store(&r)
	g.feedPeers(r)
	g.gateway.SetEndpoints(endpointsOf(r))
	g.batch.SetWorkers(workersOf(r))
	g.feedKeeper()
	g.becomeReady()
}

// feedPeers tells every part of the other entry hosts.
func (g *Gate) feedPeers(r roster.Roster) {
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
	g.spreader.setHosts(names)
}

// endpointsOf lists all endpoints with their shards.
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
