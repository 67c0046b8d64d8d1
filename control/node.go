package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/peer"
)

// Node is this host's part in control: owner of the domain, or a forwarder to
// its owner.
type Node struct {
	opts   Options
	client *peer.Client
	server *peer.Server
	config atomic.Pointer[Config]
	// configSet is closed when the first configuration has come.
	configSet  chan struct{}
	configOnce sync.Once

	mu sync.Mutex
	// owner is set while this host owns the domain.
	owner *Owner
	// leader is the owner's row as last seen; changed is closed when it or
	// owner changes.
	leader  election.Record
	changed chan struct{}
	// leaderSeen is when, in boottime, the leader last answered.
	leaderSeen time.Duration
	resigned   bool
	// ownerlessSince is since when no owner is known, zero while one is.
	ownerlessSince time.Time
	// hosts are addresses of other hosts, oldest first.
	hosts []string
	// newest is the highest epoch of an owner that this host knew.
	newest uint64
	// hint is the newest owner that peers told of.
	hint election.Record
	// rivals are the hosts that ask after this one as the owner.
	rivals election.Candidates
	// payloads are those of jobs whose starts this host carries for an owner.
	payloads payloads
	// relays is how many relays each zone had under the owner that answered last.
	relays atomic.Int64
}

// NewNode returns a node; its peer server must be served, and Run called.
func NewNode(opts Options) *Node {
	po := peer.Options{
		Host: opts.Host, Log: opts.Log, UserTimeout: peerUserTimeout, Handshake: pingTimeout,
		MaxBackoff: peerMaxBackoff, AnyName: true,
	}
	n := &Node{
		opts: opts, client: peer.NewClient(po, newRand()),
		server:    peer.NewServer(po, func(string, netip.Addr) bool { return true }),
		configSet: make(chan struct{}), changed: make(chan struct{}),
	}
	n.handle()
	n.handleGossip()
	n.handleCarry()
	n.client.SetPeers(n.peers(election.Record{}))
	return n
}

// newRand returns a source that spreads reconnections.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // nothing secret
}

// peers returns the addresses of the seeds and the leader, by name.
func (n *Node) peers(leader election.Record) map[string]string {
	all := map[string]string{}
	for _, address := range append(slices.Clone(n.opts.Seeds), n.hosts...) {
		all[seedName(address)] = address
	}
	if leader.Host != "" {
		all[leader.Host] = leader.Address
	}
	return all
}

const (
	// peerUserTimeout gives up connections to peers whose bytes stay
	// unacknowledged; shorter than the time to a take-over.
	peerUserTimeout = time.Second
	// peerMaxBackoff bounds the wait between dials to a peer.
	peerMaxBackoff = 300 * time.Millisecond
)

// Server returns the server of requests from peers.
func (n *Node) Server() *peer.Server { return n.server }

// SetConfig puts a configuration in force; an older one is ignored.
func (n *Node) SetConfig(c Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	n.config.Store(&c)
	n.configOnce.Do(func() { close(n.configSet) })
	if o := n.owner; o != nil {
		go o.post(func() { o.setConfig(c) })
	}
}

// setConfig puts a configuration in force at the owner.
func (o *Owner) setConfig(c Config) {
	if c.Version <= o.config.Version {
		return
	}
	o.config = c
	o.state.SetQueues(c.Queues)
	o.notePermits(c)
}

// SetBounds puts changed bounds in force, here and at later owners.
func (n *Node) SetBounds(retention, tailBound time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opts.Retention, n.opts.TailBound = retention, tailBound
	if o := n.owner; o != nil {
		go o.post(func() { o.state.SetBounds(retention, tailBound) })
	}
}

// Ready reports whether callers can be served: a configuration is in force
// and the owner has answered lately.
func (n *Node) Ready() bool {
	if n.config.Load() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner != nil {
		return n.owner.commitAge() < ownerValidity
	}
	return n.leaderSeen > 0 && boottime()-n.leaderSeen < leaderFresh
}

// leaderFresh is how old the owner's last answer may be for this host to
// count as ready: a take-over lies within it.
const leaderFresh = 3 * time.Second

// current returns the owner if it is this host, the leader otherwise, and a
// channel that closes when either changes.
func (n *Node) current() (*Owner, election.Record, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner, n.leader, n.changed
}

// setLeader takes in who owns the domain.
func (n *Node) setLeader(r election.Record, o *Owner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leader, n.owner = r, o
	n.newest = max(n.newest, r.Epoch)
	if o != nil || r.Host != "" {
		n.ownerlessSince = time.Time{}
	} else if n.ownerlessSince.IsZero() {
		n.ownerlessSince = time.Now()
	}
	if o == nil {
		n.client.SetPeers(n.peers(r))
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// ownerlessFor returns for how long no owner has been known.
func (n *Node) ownerlessFor() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownerlessSince.IsZero() {
		return 0
	}
	return time.Since(n.ownerlessSince)
}

// seen notes that the leader answered.
func (n *Node) seen() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaderSeen = boottime()
}

// Run follows or leads until the context ends.
func (n *Node) Run(ctx context.Context) {
	select {
	case <-n.configSet:
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		n.follow(ctx)
	}
}

// Resign gives the domain up for a planned stop, and keeps this host from
// owning it again.
func (n *Node) Resign(ctx context.Context) {
	n.mu.Lock()
	n.resigned = true
	o := n.owner
	n.mu.Unlock()
	if o != nil {
		o.resign(ctx)
	}
}

// stopping reports whether the host is to own the domain no more.
func (n *Node) stopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resigned
}

// Owns reports whether this host owns the domain.
func (n *Node) Owns() bool {
	o, _, _ := n.current()
	return o != nil && o.ctx.Err() == nil
}
