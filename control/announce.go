package control

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

const (
	// notifyInterval is the time between two attempts to notify a host of a new owner.
	notifyInterval = 300 * time.Millisecond
	// notifyDuration bounds the attempts; hosts that miss the notification read the
	// owner's row. A host whose owner may still give orders is notified for as long as
	// it may.
	notifyDuration = 5 * time.Second
)

// announceOwnership notifies the known hosts and those of the earlier owners of the
// new owner, for those that can't reach the table service: an owner cut off from it
// would otherwise go on answering callers for seconds. It calls stopped for each
// earlier owner whose host has answered; that owner gives no orders from then on.
func (n *Node) announceOwnership(ctx context.Context, current election.Record, stopped func(election.EarlierOwner)) {
	addresses := n.otherHosts(maxPeersNotified)
	earlier := slices.DeleteFunc(slices.Clone(current.Earlier), func(e election.EarlierOwner) bool { return e.Stopped() })
	for _, e := range earlier {
		if e.Address != "" && !slices.Contains(addresses, e.Address) {
			addresses = append(addresses, e.Address)
		}
	}
	client := peer.NewClient(peer.Options{Host: n.opts.Host, UserTimeout: peerUserTimeout, HandshakeTimeout: pingTimeout, AcceptAnyHost: true, Dial: n.opts.Dial}, newRand())
	defer client.Close()
	names := map[string]string{}
	for _, address := range addresses {
		names[seedName(address)] = address
	}
	client.SetPeers(names)
	var pending sync.WaitGroup
	for _, address := range addresses {
		pending.Go(func() { notifyHost(ctx, client, address, current, ownersAt(earlier, address), stopped) })
	}
	pending.Wait()
	event.OwnershipAnnounced.Log(n.opts.Log, slog.Uint64("epoch", current.Epoch), slog.Int("hosts", len(addresses)))
}

// ownersAt returns the owners at an address.
func ownersAt(owners []election.EarlierOwner, address string) []election.EarlierOwner {
	return slices.DeleteFunc(slices.Clone(owners), func(e election.EarlierOwner) bool { return e.Address != address })
}

// notifyHost notifies a host of the new owner until it answers, and then calls
// stopped for its earlier owners.
func notifyHost(ctx context.Context, client *peer.Client, address string, current election.Record, owners []election.EarlierOwner, stopped func(election.EarlierOwner)) {
	duration := notifyDuration
	for _, e := range owners {
		duration = max(duration, time.Duration(e.OrdersMS)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	t := time.NewTicker(notifyInterval)
	defer t.Stop()
	for {
		if host, ok := notifyOnce(ctx, client, address, current); ok {
			for _, e := range owners {
				if e.Host == host {
					stopped(e)
				}
			}
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// notifyOnce makes one attempt to notify a host. It returns the host's name if it
// answered.
func notifyOnce(ctx context.Context, client *peer.Client, address string, current election.Record) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var r newOwnerReply
	res := client.Call(ctx, seedName(address), methodNewOwner, current, &r)
	return r.Host, res.Kind == outcome.Answered
}
