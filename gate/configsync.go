package gate

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/configsync/exchange"
	"github.com/fireflygate/fireflygate/peer"
)

// acceptTimeout is how long an operator waits until an accepted version is in force.
const acceptTimeout = 2 * time.Second

// configSync passes the configurations of a watcher between entry hosts. It implements
// exchange.Holder.
type configSync struct {
	watcher  *configstore.Watcher
	exchange *exchange.Exchange
}

func newConfigSync(t peer.Transport, mux peer.Mux, w *configstore.Watcher, rng *rand.Rand) *configSync {
	s := &configSync{watcher: w}
	s.exchange = exchange.New(t, mux, s, exchange.HeldByMost, rng)
	w.SetReceiver(s.exchange)
	return s
}

// Version implements exchange.Holder.
func (s *configSync) Version() (uint64, bool) { return s.watcher.Version() }

// Offer implements exchange.Holder.
func (s *configSync) Offer() (configstore.Offer, bool) {
	current, ok := s.watcher.Current()
	return configstore.Offer{Head: current.Head, Content: current.Content}, ok
}

// Valid implements exchange.Holder.
func (s *configSync) Valid(o configstore.Offer) bool { return s.watcher.Valid(o) }

// ApplyIfNewer implements exchange.Holder.
func (s *configSync) ApplyIfNewer(o configstore.Offer) bool { return s.watcher.ApplyIfNewer(o) }

// NeedsPeers implements exchange.Holder. The store is polled more rarely than peers are
// asked, so a host with a version always compares it. Without one it needs its peers
// only if the store can't be read.
func (s *configSync) NeedsPeers() bool {
	_, started := s.watcher.Version()
	return started || s.watcher.LastReadFailed()
}

// version returns the version in force, 0 before the first.
func (s *configSync) version() uint64 {
	version, _ := s.watcher.Version()
	return version
}

// setHosts replaces the names of the peers.
func (s *configSync) setHosts(hosts []string) { s.exchange.SetPeers(hosts) }

// peerVersions returns the newest version reported by each peer, 0 for none.
func (s *configSync) peerVersions() map[string]uint64 { return s.exchange.PeerVersions() }

// run exchanges versions with peers until ctx ends.
func (s *configSync) run(ctx context.Context) { s.exchange.Run(ctx) }

// accept holds a version that the store has accepted from this host, and waits until it
// is in force here, for acceptTimeout at most. It reports whether it is.
func (s *configSync) accept(ctx context.Context, o configstore.Offer) bool {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	return s.exchange.Accept(ctx, o)
}
