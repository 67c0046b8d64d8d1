package control

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// Methods by which hosts learn of a new owner if they can't read the owner's
// row.
const (
	methodLeader   peer.Method = "control.leader"
	methodNewOwner peer.Method = "control.taken"
)

// leaderInfo is a host's knowledge of the domain's owner.
type leaderInfo struct {
	Record election.Record `msgpack:"r"`
	// Fresh is set if the sender is the owner or recently had an answer from it.
	Fresh bool `msgpack:"f"`
}

// newOwnerReply is a host's answer to methodNewOwner. The host gives no orders of
// its own any more, unless it owns the domain in a later epoch.
type newOwnerReply struct {
	Host string `msgpack:"h"`
}

// emptyMessage is a message without content.
type emptyMessage struct{}

// handleGossip registers the handlers of methodLeader and methodNewOwner.
func (n *Node) handleGossip() {
	n.server.Handle(methodLeader, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		if err := decode(&emptyMessage{}); err != nil {
			return nil, err
		}
		return n.leaderInfo(), nil
	})
	n.server.Handle(methodNewOwner, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var r election.Record
		if err := decode(&r); err != nil {
			return nil, err
		}
		n.handleNewOwner(r)
		return newOwnerReply{Host: n.opts.Host}, nil
	})
}

// leaderInfo returns what this host knows of the owner.
func (n *Node) leaderInfo() leaderInfo {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner != nil {
		return leaderInfo{Record: n.leader, Fresh: n.owner.commitAge() < election.StaleAfter}
	}
	return leaderInfo{Record: n.leader, Fresh: n.leaderSeen > 0 && boottime()-n.leaderSeen < election.StaleAfter}
}

// handleNewOwner records the row of an owner that is newer than those known to
// this host, as a hint for replacing the current owner. If this host owns the
// domain, its own ownership has ended and its owner quits; if it is about to, the
// owner quits as it begins (see setLeader).
func (n *Node) handleNewOwner(r election.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Epoch <= n.hint.Epoch || r.Epoch <= n.leader.Epoch {
		return
	}
	n.hint = r
	if n.owner != nil {
		n.owner.quit(errors.Wrapf(election.ErrDeposed, "%s claims ownership in epoch %d", r.Host, r.Epoch))
	}
}

// newerHint returns the owner reported by peers, and whether it is newer than
// current and not older than any owner known to this host.
func (n *Node) newerHint(current election.Record) (election.Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hint, n.hint.Epoch > current.Epoch && n.hint.Epoch >= n.maxEpoch
}

// askPeers asks some of the seeds and known hosts who owns the domain, until one
// answers that is the owner or had a recent answer from it. It passes that
// answer to handleNewOwner.
func (n *Node) askPeers(ctx context.Context) {
	for _, address := range n.otherHosts(maxPeersAsked) {
		attempt, cancel := context.WithTimeout(ctx, pingTimeout)
		var info leaderInfo
		res := n.client.Call(attempt, seedName(address), methodLeader, emptyMessage{}, &info)
		cancel()
		if res.Kind == outcome.Answered && info.Fresh {
			n.handleNewOwner(info.Record)
			return
		}
	}
}

// maxPeersAsked bounds the hosts asked in one round. maxPeersNotified bounds
// the recorded addresses of hosts and the hosts that a new owner notifies; other
// hosts read the owner's row.
const (
	maxPeersAsked    = 4
	maxPeersNotified = 64
)

// otherHosts returns up to limit addresses of other hosts, in random order.
func (n *Node) otherHosts(limit int) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := n.otherAddresses()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(limit, len(all))]
}

// otherAddresses returns the addresses of the seeds and known hosts without this one;
// n.mu must be held.
func (n *Node) otherAddresses() []string {
	var all []string
	for _, address := range append(slices.Clone(n.opts.Seeds), n.hosts...) {
		if address != n.opts.Address && !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// PeerAddresses returns the addresses of the other hosts that this host knows. The owner
// isn't among the hosts that it reports.
func (n *Node) PeerAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	addresses := n.otherAddresses()
	if owner := n.leader.Address; owner != "" && owner != n.opts.Address && !slices.Contains(addresses, owner) {
		addresses = append(addresses, owner)
	}
	return addresses
}

// NewPeerClient returns a client without peers for requests to other hosts' servers.
func (n *Node) NewPeerClient() *peer.Client { return peer.NewClient(peerOptions(&n.opts), newRand()) }

// addHost records the address of a host that pinged this one. It drops the
// oldest address if there are too many.
func (n *Node) addHost(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address != "" && !slices.Contains(n.hosts, address) {
		n.hosts = append(n.hosts, address)
		if len(n.hosts) > maxPeersNotified {
			n.hosts = n.hosts[1:]
		}
	}
}

// setHosts replaces the known hosts by those that the owner reports. An empty
// list is ignored: the owner sends none if this host knows as many.
func (n *Node) setHosts(hosts []string) {
	if len(hosts) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts = hosts
	if n.owner == nil {
		n.client.SetPeers(n.peers(n.leader))
	}
}

// seedName returns the name under which the peer client knows a seed.
func seedName(address string) string { return "seed " + address }
