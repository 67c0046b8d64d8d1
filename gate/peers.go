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

// Peer methods of the configuration's anti-entropy.
const (
	methodConfigVersion peer.Method = "config.version"
	methodConfigOffer   peer.Method = "config.offer"
)

// Spreading of configurations among peers.
const (
	// versionInterval is how often a few peers are asked for their version.
	versionInterval = 500 * time.Millisecond
	// versionFanout is how many are asked at a time; for each that does not
	// answer, up to versionRetries others are asked.
	versionFanout  = 2
	versionRetries = 2
	// offerFanout is how many peers a host tells of a version that is new to
	// it; each of them does the same.
	offerFanout = 4
	// peerTimeout bounds one exchange with a peer.
	peerTimeout = time.Second
	// anyVersion is above every version.
	anyVersion = math.MaxUint64
)

// versionMessage tells which configuration is in force on a host.
type versionMessage struct {
	Version uint64 `msgpack:"v"`
}

// spreader brings configurations to peers without the store, and knows which
// version each peer last told.
type spreader struct {
	transport peer.Transport
	watcher   *configstore.Watcher
	mu        sync.Mutex // guards the fields below
	rng       *rand.Rand
	hosts     []string
	versions  map[string]uint64
}

func newSpreader(t peer.Transport, mux peer.Mux, w *configstore.Watcher, rng *rand.Rand) *spreader {
	s := &spreader{transport: t, watcher: w, rng: rng, versions: map[string]uint64{}}
	mux.Handle(methodConfigVersion, s.handleVersion)
	mux.Handle(methodConfigOffer, s.handleOffer)
	mux.Handle(methodConfigFetch, s.handleFetch)
	return s
}

// setHosts replaces the peers' names.
func (s *spreader) setHosts(hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
	known := map[string]uint64{}
	for _, h := range hosts {
		known[h] = s.versions[h]
	}
	s.versions = known
}

// known returns the version that each peer last told.
func (s *spreader) known() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]uint64, len(s.versions))
	for h, v := range s.versions {
		out[h] = v
	}
	return out
}

// run asks a few peers at each interval and mends differences either way.
func (s *spreader) run(ctx context.Context) {
	ticker := time.NewTicker(versionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, started := s.watcher.Version(); started {
			s.round(ctx)
		} else {
			s.fetch(ctx)
		}
	}
}

// round compares versions with a few random peers.
func (s *spreader) round(ctx context.Context) {
	hosts := s.pick(versionFanout*(1+versionRetries), anyVersion)
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

// each calls f for all hosts at once and waits, so that one that does not
// answer holds up no other.
func (s *spreader) each(hosts []string, f func(host string)) {
	var wg sync.WaitGroup
	for _, host := range hosts {
		wg.Go(func() { f(host) })
	}
	wg.Wait()
}

// spread tells a few peers that are not known to have what is in force. Each is
// asked for its version first: most offers would come second, and an offer
// carries the whole content.
func (s *spreader) spread(ctx context.Context) {
	s.each(s.pick(offerFanout, s.version()), func(host string) { s.compare(ctx, host) })
}

// compare asks a peer for its version; an older one is offered ours, and a
// newer one sends its own. It reports whether the peer answered.
func (s *spreader) compare(ctx context.Context, host string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	mine := s.version()
	var theirs versionMessage
	r := s.transport.Call(ctx, host, methodConfigVersion, versionMessage{Version: mine}, &theirs)
	if r.Kind != outcome.Answered {
		return false
	}
	s.learn(host, theirs.Version)
	if theirs.Version < mine {
		s.offer(ctx, host)
	}
	return true
}

func (s *spreader) offer(ctx context.Context, host string) {
	current, ok := s.watcher.Current()
	if !ok {
		return
	}
	o, err := packOffer(configstore.Offer{Head: current.Head, Content: current.Content})
	if err != nil {
		return // the table's copy reaches the peer
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var theirs versionMessage
	if r := s.transport.Call(ctx, host, methodConfigOffer, o, &theirs); r.Kind == outcome.Answered {
		s.learn(host, theirs.Version)
	}
}

func (s *spreader) handleVersion(ctx context.Context, from string, decode func(any) error) (any, error) {
	var m versionMessage
	if err := decode(&m); err != nil {
		return nil, err
	}
	s.learn(from, m.Version)
	mine := s.version()
	if m.Version < mine {
		go s.offer(context.WithoutCancel(ctx), from)
	}
	return versionMessage{Version: mine}, nil
}

func (s *spreader) handleOffer(ctx context.Context, from string, decode func(any) error) (any, error) {
	var m offerMessage
	if err := decode(&m); err != nil {
		return nil, err
	}
	o, err := m.offer()
	if err != nil {
		return nil, err
	}
	s.learn(from, o.Head.Version)
	// A starting host does not take the word of one peer, see fetch.
	if _, started := s.watcher.Version(); started && s.watcher.ApplyIfNewer(o) {
		go s.spread(context.WithoutCancel(ctx))
	}
	return versionMessage{Version: s.version()}, nil
}

func (s *spreader) version() uint64 {
	version, _ := s.watcher.Version()
	return version
}

func (s *spreader) learn(host string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.versions[host]; known {
		s.versions[host] = max(s.versions[host], version)
	}
}

// pick returns up to n different peers at random, of those that are not known
// to have the version.
func (s *spreader) pick(n int, version uint64) []string {
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
