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
	rule      Rule
	mu        sync.Mutex // guards the fields below
	random    *rand.Rand
	versions  configsync.PeerVersions
	startup   configsync.Startup
	// pending is the newest version that this host has, nil if that is in force.
	pending      *configstore.Offer
	confirmation configsync.Confirmation
	// applied is closed and replaced when a version is put into force.
	applied chan struct{}
	// counting has the peers that are being asked by count.
	counting map[string]bool
}

// New returns an exchange without peers and registers its handlers with mux. It
// serializes access to random.
func New(t peer.Transport, mux peer.Mux, h Holder, rule Rule, random *rand.Rand) *Exchange {
	e := &Exchange{
		transport: t, holder: h, rule: rule, random: random,
		applied: make(chan struct{}), counting: map[string]bool{},
	}
	e.startup.Begin(time.Now())
	mux.Handle(methodVersion, e.handleVersion)
	mux.Handle(methodOffer, e.handleOffer)
	mux.Handle(methodFetch, e.handleFetch)
	return e
}

// SetPeers replaces the names of the peers, and puts the pending version into force if
// most hosts of the new list hold it.
func (e *Exchange) SetPeers(names []string) {
	e.mu.Lock()
	e.versions.SetPeers(names)
	e.mu.Unlock()
	e.applyConfirmed()
}

// PeerVersions returns the newest version in force reported by each peer, 0 for none.
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

// Round compares versions with a few random peers if this host needs them, and counts
// which peers have a version that isn't in force yet. Before the first version it looks
// for that one instead.
func (e *Exchange) Round(ctx context.Context) {
	_, held := e.Held()
	pending, waits := e.pendingVersion()
	switch {
	case !waits && !e.holder.NeedsPeers():
	case !held:
		e.start(ctx)
	default:
		e.compareWithSome(ctx)
		if waits && e.isCounter() {
			e.countUntil(ctx, pending, Interval)
		}
	}
}

// compareWithSome compares versions with a few random peers.
func (e *Exchange) compareWithSome(ctx context.Context) {
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

// Push tells the versions of this host to a few peers that aren't known to have them,
// and sends the newest to those that have an older one.
func (e *Exchange) Push(ctx context.Context) {
	mine := e.message().report()
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
	mine := e.message()
	switch held := theirs.report().Held; {
	case !mine.known() || !theirs.known():
	case held < mine.sharedWith(theirs):
		e.sendOffer(ctx, host, theirs.Waits)
	case held > mine.report().Held:
		e.fetch(ctx, host, held)
	}
	return true
}

// ask asks a peer for its versions and records them.
func (e *Exchange) ask(ctx context.Context, host string) (versionMessage, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	mine := e.message()
	mine.Fetches = true
	var theirs versionMessage
	asked := time.Now()
	if r := e.transport.Call(ctx, host, methodVersion, mine, &theirs); r.Kind != outcome.Answered {
		return versionMessage{}, false
	}
	e.recordAnswer(ctx, host, theirs, asked)
	return theirs, true
}

// SendOffer sends the configuration in force to a peer.
func (e *Exchange) SendOffer(ctx context.Context, host string) { e.sendOffer(ctx, host, false) }

// sendOffer sends the configuration in force to a peer, or a newer one that isn't in
// force yet to a peer that waits with it as well.
func (e *Exchange) sendOffer(ctx context.Context, host string, waits bool) {
	newest, ok := e.offer(waits)
	if !ok {
		return
	}
	o, err := packOffer(newest)
	if err != nil {
		return // the peer reads it from the store
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var theirs versionMessage
	asked := time.Now()
	if r := e.transport.Call(ctx, host, methodOffer, o, &theirs); r.Kind == outcome.Answered {
		e.recordAnswer(ctx, host, theirs, asked)
	}
}

// fetch takes the newest configuration of a peer unless it is older than a version.
func (e *Exchange) fetch(ctx context.Context, host string, version uint64) {
	request, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply fetchReply
	r := e.transport.Call(request, host, methodFetch, versionMessage{Waits: e.rule == HeldByMost}, &reply)
	if r.Kind != outcome.Answered || !reply.Known || reply.Offer.Head.Version < version {
		return
	}
	o, err := reply.Offer.unpack()
	if err != nil {
		return // damaged; a later round fetches it from another peer
	}
	e.take(ctx, o, host)
}

// take holds a configuration from a peer if it is newer, and pushes it on.
func (e *Exchange) take(ctx context.Context, o configstore.Offer, from string) {
	o.From = from
	if e.hold(o) {
		go e.Push(context.WithoutCancel(ctx))
	}
}

// recordAnswer records a peer's answer to a question asked at a time. A version that it
// confirms is put into force, and its confirmation pushed on.
func (e *Exchange) recordAnswer(ctx context.Context, host string, m versionMessage, asked time.Time) {
	e.mu.Lock()
	if m.known() {
		e.versions.RecordAnswer(host, m.report(), asked)
	}
	e.mu.Unlock()
	e.confirmBy(ctx, m)
}

// confirmBy records the version that a peer knows to be held by most hosts, and puts the
// pending version into force if that is now known to be.
func (e *Exchange) confirmBy(ctx context.Context, m versionMessage) {
	if m.Confirmed {
		e.mu.Lock()
		e.confirmation.Record(m.Version)
		e.mu.Unlock()
	}
	if e.applyConfirmed() {
		go e.Push(context.WithoutCancel(ctx))
	}
}
