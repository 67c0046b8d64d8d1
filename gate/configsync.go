package gate

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// Peer methods of configuration anti-entropy.
const (
	methodConfigVersion peer.Method = "config.version"
	methodConfigOffer   peer.Method = "config.offer"
)

const (
	// versionInterval is how often a few peers are queried for their version.
	versionInterval = 500 * time.Millisecond
	// versionFanout is how many peers are queried concurrently. For each that
	// doesn't respond, up to versionRetries others are queried.
	versionFanout  = 2
	versionRetries = 2
	// offerFanout is how many peers a host pushes a new version to; each of
	// them does the same.
	offerFanout = 4
	// peerTimeout bounds one request to a peer.
	peerTimeout = time.Second
	// anyVersion, passed to pickPeers, selects peers whatever their version.
	anyVersion = math.MaxUint64
)

// versionMessage is the configuration version in force on a host.
type versionMessage struct {
	Version uint64 `msgpack:"v"`
}

// configSync replicates configurations among entry hosts without the store, by
// push and by periodic anti-entropy, and records each peer's version.
type configSync struct {
	transport peer.Transport
	watcher   *configstore.Watcher
	mu        sync.Mutex // guards the fields below
	rng       *rand.Rand
	hosts     []string
	versions  map[string]uint64
}

func newConfigSync(t peer.Transport, mux peer.Mux, w *configstore.Watcher, rng *rand.Rand) *configSync {
	s := &configSync{transport: t, watcher: w, rng: rng, versions: map[string]uint64{}}
	mux.Handle(methodConfigVersion, s.handleVersion)
	mux.Handle(methodConfigOffer, s.handleOffer)
	mux.Handle(methodConfigFetch, s.handleFetch)
	return s
}

// setHosts replaces the peers' names.
func (s *configSync) setHosts(hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
	known := map[string]uint64{}
	for _, h := range hosts {
		known[h] = s.versions[h]
	}
	s.versions = known
}

// peerVersions returns the highest version reported by each peer; 0 for none.
func (s *configSync) peerVersions() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]uint64, len(s.versions))
	for h, v := range s.versions {
		out[h] = v
	}
	return out
}

// run exchanges versions with a few peers at each interval until ctx ends. While
// the host has no configuration, it fetches one from peers instead.
func (s *configSync) run(ctx context.Context) {
	ticker := time.NewTicker(versionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, started := s.watcher.Version(); started {
			s.syncRound(ctx)
		} else {
			s.fetchFromPeers(ctx)
		}
	}
}

// syncRound compares versions with a few random peers.
func (s *configSync) syncRound(ctx context.Context) {
	hosts := s.pickPeers(versionFanout*(1+versionRetries), anyVersion)
	lanes := min(versionFanout, len(hosts))
	var wg sync.WaitGroup
	for lane := range lanes {
		wg.Go(func() {
			for i := lane; i < len(hosts); i += versionFanout {
				if s.compare(ctx, hosts[i]) {
					return
				}
			}
		})
	}
	wg.Wait()
}

// forEach calls f concurrently for all hosts and waits for all calls.
func (s *configSync) forEach(hosts []string, f func(host string)) {
	var wg sync.WaitGroup
	for _, host := range hosts {
		wg.Go(func() { f(host) })
	}
	wg.Wait()
}

// push sends the version in force to a few peers that aren't known to have it.
// It queries their version first, because an offer carries the whole content and
// another host has often sent it already.
func (s *configSync) push(ctx context.Context) {
	s.forEach(s.pickPeers(offerFanout, s.version()), func(host string) { s.compare(ctx, host) })
}

// compare exchanges versions with a peer. The host with the newer one sends it
// to the other. It reports whether the peer responded.
func (s *configSync) compare(ctx context.Context, host string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	mine := s.version()
	var theirs versionMessage
	r := s.transport.Call(ctx, host, methodConfigVersion, versionMessage{Version: mine}, &theirs)
	if r.Kind != outcome.Answered {
		return false
	}
	s.recordVersion(host, theirs.Version)
	if theirs.Version < mine {
		s.sendOffer(ctx, host)
	}
	return true
}

func (s *configSync) sendOffer(ctx context.Context, host string) {
	current, ok := s.watcher.Current()
	if !ok {
		return
	}
	o, err := packOffer(configstore.Offer{Head: current.Head, Content: current.Content})
	if err != nil {
		return // the peer reads it from the table
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var theirs versionMessage
	if r := s.transport.Call(ctx, host, methodConfigOffer, o, &theirs); r.Kind == outcome.Answered {
		s.recordVersion(host, theirs.Version)
	}
}

func (s *configSync) handleVersion(ctx context.Context, from string, decode func(any) error) (any, error) {
	var m versionMessage
	if err := decode(&m); err != nil {
		return nil, err
	}
	s.recordVersion(from, m.Version)
	mine := s.version()
	if m.Version < mine {
		go s.sendOffer(context.WithoutCancel(ctx), from)
	}
	return versionMessage{Version: mine}, nil
}

func (s *configSync) handleOffer(ctx context.Context, from string, decode func(any) error) (any, error) {
	var m offerMessage
	if err := decode(&m); err != nil {
		return nil, err
	}
	o, err := m.unpack()
	if err != nil {
		return nil, err
	}
	s.recordVersion(from, o.Head.Version)
	// A starting host doesn't rely on a single peer, see fetchFromPeers.
	if _, started := s.watcher.Version(); started && s.watcher.ApplyIfNewer(o) {
		go s.push(context.WithoutCancel(ctx))
	}
	return versionMessage{Version: s.version()}, nil
}

func (s *configSync) version() uint64 {
	version, _ := s.watcher.Version()
	return version
}

func (s *configSync) recordVersion(host string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.versions[host]; known {
		s.versions[host] = max(s.versions[host], version)
	}
}

// pickPeers returns up to n random peers whose highest reported version is older
// than version.
func (s *configSync) pickPeers(n int, version uint64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []string
	for _, h := range s.hosts {
		if s.versions[h] < version {
			hosts = append(hosts, h)
		}
	}
	s.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(n, len(hosts))]
}
