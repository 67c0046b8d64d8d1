package exchange

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/configsync"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

const (
	// Interval is the time between two rounds.
	Interval = 500 * time.Millisecond
	// versionFanout is how many peers are queried concurrently in a round. For each
	// that doesn't respond, up to versionRetries others are queried.
	versionFanout  = 2
	versionRetries = 2
	// offerFanout is how many peers a host pushes a new version to; each of them does
	// the same.
	offerFanout = 4
	// peerTimeout bounds one request to a peer.
	peerTimeout = time.Second
)

// Exchange passes configurations between this host and its peers. It is safe for
// concurrent use.
type Exchange struct {
	transport peer.Transport
	holder    Holder
	mu        sync.Mutex // guards the fields below
	random    *rand.Rand
	versions  configsync.PeerVersions
	startup   configsync.Startup
}

// New returns an exchange without peers and registers its handlers with mux. It
// serializes access to random.
func New(t peer.Transport, mux peer.Mux, h Holder, random *rand.Rand) *Exchange {
	e := &Exchange{transport: t, holder: h, random: random}
	mux.Handle(methodVersion, e.handleVersion)
	mux.Handle(methodOffer, e.handleOffer)
	mux.Handle(methodFetch, e.handleFetch)
	return e
}

// SetPeers replaces the names of the peers.
func (e *Exchange) SetPeers(names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions.SetPeers(names)
}

// PeerVersions returns the newest version reported by each peer, 0 for none.
func (e *Exchange) PeerVersions() map[string]uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions.Versions()
}

// Run performs a round at each interval until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.Round(ctx)
		}
	}
}

// Round compares versions with a few random peers if this host needs them. Before the
// first version it looks for that one instead.
func (e *Exchange) Round(ctx context.Context) {
	if !e.holder.NeedsPeers() {
		return
	}
	if _, ok := e.holder.Version(); !ok {
		e.start(ctx)
		return
	}
	e.mu.Lock()
	peers := e.versions.Any(e.random, versionFanout*(1+versionRetries))
	e.mu.Unlock()
	var pending sync.WaitGroup
	for lane := range min(versionFanout, len(peers)) {
		pending.Go(func() {
			for i := lane; i < len(peers); i += versionFanout {
				if e.compare(ctx, peers[i]) {
					return
				}
			}
		})
	}
	pending.Wait()
}

// Push tells the version in force to a few peers that aren't known to have it, and
// sends it to those that have an older one.
func (e *Exchange) Push(ctx context.Context) {
	mine, _ := e.holder.Version()
	e.mu.Lock()
	peers := e.versions.Behind(e.random, offerFanout, mine)
	e.mu.Unlock()
	var pending sync.WaitGroup
	for _, p := range peers {
		pending.Go(func() { e.compare(ctx, p) })
	}
	pending.Wait()
}

// compare exchanges versions with a peer, and sends or fetches the newer one. It
// reports whether the peer responded.
func (e *Exchange) compare(ctx context.Context, host string) bool {
	theirs, ok := e.ask(ctx, host)
	if !ok {
		return false
	}
	switch mine, known := e.holder.Version(); {
	case !known || !theirs.known():
	case theirs.Version < mine:
		e.SendOffer(ctx, host)
	case theirs.Version > mine:
		e.fetch(ctx, host)
	}
	return true
}

// ask asks a peer for its version and records it.
func (e *Exchange) ask(ctx context.Context, host string) (versionMessage, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	mine, known := e.holder.Version()
	var theirs versionMessage
	r := e.transport.Call(ctx, host, methodVersion, versionMessage{Version: mine, Known: known, Fetches: true}, &theirs)
	if r.Kind != outcome.Answered {
		return versionMessage{}, false
	}
	e.record(host, theirs.Version)
	return theirs, true
}

// SendOffer sends the configuration in force to a peer.
func (e *Exchange) SendOffer(ctx context.Context, host string) {
	current, ok := e.holder.Offer()
	if !ok {
		return
	}
	o, err := packOffer(current)
	if err != nil {
		return // the peer reads it from the store
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var theirs versionMessage
	if r := e.transport.Call(ctx, host, methodOffer, o, &theirs); r.Kind == outcome.Answered {
		e.record(host, theirs.Version)
	}
}

// fetch puts the configuration in force on a peer into force here.
func (e *Exchange) fetch(ctx context.Context, host string) {
	request, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply fetchReply
	r := e.transport.Call(request, host, methodFetch, versionMessage{}, &reply)
	if r.Kind != outcome.Answered || !reply.Known {
		return
	}
	o, err := reply.Offer.unpack()
	if err != nil {
		return // damaged; a later round fetches it from another peer
	}
	e.apply(ctx, o, host)
}

// apply puts a configuration from a peer into force if it is newer, and pushes it on.
func (e *Exchange) apply(ctx context.Context, o configstore.Offer, from string) {
	o.From = from
	if e.holder.ApplyIfNewer(o) {
		go e.Push(context.WithoutCancel(ctx))
	}
}

// record records a peer's version.
func (e *Exchange) record(peer string, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions.Record(peer, version)
}
