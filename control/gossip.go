package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// The methods by which hosts learn of an owner that they can't read of, since
// the table service turns them away.
const (
	methodLeader peer.Method = "control.leader"
	methodTaken  peer.Method = "control.taken"
)

// leaderNews tells who owns the domain.
type leaderNews struct {
	Record election.Record `msgpack:"r"`
	// Fresh is set if the teller is the owner, or had its answer lately.
	Fresh bool `msgpack:"f"`
}

// nothing is an empty message.
type nothing struct{}

// handleGossip registers the answers to these methods.
func (n *Node) handleGossip() {
	n.server.Handle(methodLeader, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		if err := decode(&nothing{}); err != nil {
			return nil, err
		}
		return n.leaderNews(), nil
	})
	n.server.Handle(methodTaken, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var r election.Record
		if err := decode(&r); err != nil {
			return nil, err
		}
		n.learn(r)
		return nothing{}, nil
	})
}

// leaderNews returns what this host knows of the owner.
func (n *Node) leaderNews() leaderNews {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner != nil {
		return leaderNews{Record: n.leader, Fresh: n.owner.commitAge() < election.StaleAfter}
	}
	return leaderNews{Record: n.leader, Fresh: n.leaderSeen > 0 && boottime()-n.leaderSeen < election.StaleAfter}
}

// learn takes in that a host owns the domain. An owner with a lower epoch has
// been deposed and stops.
func (n *Node) learn(r election.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Epoch <= n.hint.Epoch || r.Epoch <= n.leader.Epoch {
		return
	}
	n.hint = r
	if n.owner != nil {
		n.owner.quit(errors.Wrapf(election.ErrDeposed, "%s says that it owns epoch %d", r.Host, r.Epoch))
	}
}

// hinted returns an owner that peers told of and that is newer than the one
// given, and not older than any that this host knew.
func (n *Node) hinted(than election.Record) (election.Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hint, n.hint.Epoch > than.Epoch && n.hint.Epoch >= n.newest
}

// askPeers asks other hosts who owns the domain: the seeds of the settings and
// some of those that the last owner knew.
func (n *Node) askPeers(ctx context.Context) {
	for _, address := range n.acquaintances(maxAsked) {
		try, cancel := context.WithTimeout(ctx, pingTimeout)
		var news leaderNews
		res := n.client.Call(try, seedName(address), methodLeader, nothing{}, &news)
		cancel()
		if res.Kind == outcome.Answered && news.Fresh {
			n.learn(news.Record)
			return
		}
	}
}

// maxAsked bounds the hosts asked in one round, and maxTold those that a new
// owner tells; the rest find the owner's row.
const (
	maxAsked = 4
	maxTold  = 64
)

// acquaintances returns addresses of other hosts, at most limit, in random
// order.
func (n *Node) acquaintances(limit int) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []string
	for _, address := range append(slices.Clone(n.opts.Seeds), n.hosts...) {
		if address != n.opts.Address && !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(limit, len(all))]
}

// met keeps the address of a host that asked after this one.
func (n *Node) met(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address != "" && !slices.Contains(n.hosts, address) {
		n.hosts = append(n.hosts, address)
		if len(n.hosts) > maxTold {
			n.hosts = n.hosts[1:]
		}
	}
}

// meet takes in the hosts that the owner knows.
func (n *Node) meet(hosts []string) {
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

// seedName is the name under which the peers' client knows a seed.
func seedName(address string) string { return "seed " + address }

const (
	// tellTries and tellPause bound how long a new owner tries to tell a host;
	// one that hears nothing finds out by the owner's row.
	tellTries = 10
	tellPause = 300 * time.Millisecond
)

// announce tells the owner before and the hosts that are known who owns the
// domain now. Without it, an owner that the table service turned away went on
// answering callers for 5 s, and hosts in the same position had no owner. Stopped
// is called once the owner before has heard: it gives no more orders then.
func (n *Node) announce(ctx context.Context, before, now election.Record, stopped func()) {
	addresses := n.acquaintances(maxTold)
	if before.Address != "" && before.Address != n.opts.Address && !slices.Contains(addresses, before.Address) {
		addresses = append(addresses, before.Address)
	}
	client := peer.NewClient(peer.Options{Host: n.opts.Host, UserTimeout: peerUserTimeout, Handshake: pingTimeout, AnyName: true}, newRand())
	defer client.Close()
	names := map[string]string{}
	for _, address := range addresses {
		names[seedName(address)] = address
	}
	client.SetPeers(names)
	var told sync.WaitGroup
	for _, address := range addresses {
		told.Go(func() {
			if tell(ctx, client, address, now) && address == before.Address {
				stopped()
			}
		})
	}
	told.Wait()
	event.OwnershipTold.Log(n.opts.Log, slog.Uint64("epoch", now.Epoch), slog.Int("hosts", len(addresses)))
}

// tell tells one host, several times if need be, and reports whether it heard.
func tell(ctx context.Context, client *peer.Client, address string, now election.Record) bool {
	t := time.NewTicker(tellPause)
	defer t.Stop()
	for range tellTries {
		try, cancel := context.WithTimeout(ctx, pingTimeout)
		res := client.Call(try, seedName(address), methodTaken, now, &nothing{})
		cancel()
		if res.Kind == outcome.Answered {
			return true
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	return false
}
