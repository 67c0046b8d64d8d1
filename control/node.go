package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/closedzones"
	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/peer"
)

// Node is an entry host's part in the control of a domain: it either owns the
// domain or forwards requests to the owner.
type Node struct {
	opts   Options
	client *peer.Client
	server *peer.Server
	config atomic.Pointer[Config]
	// configSet is closed when the first configuration is set.
	configSet  chan struct{}
	configOnce sync.Once

	mu sync.Mutex
	// owner is set while this host owns the domain.
	owner *Owner
	// leader is the owner's row as last read; changed is closed and replaced when
	// leader or owner changes.
	leader  election.Record
	changed chan struct{}
	// leaderSeen is the boottime of the leader's last answer.
	leaderSeen time.Duration
	resigned   bool
	// ownerlessSince is when the owner became unknown, zero while it is known.
	ownerlessSince time.Time
	// hosts are the addresses of other hosts, oldest first.
	hosts []string
	// maxEpoch is the highest epoch of the owners known so far.
	maxEpoch uint64
	// hint is the newest owner reported by peers.
	hint election.Record
	// candidates are the hosts that ping this host as the owner.
	candidates election.Candidates
	// closedZones is the newest set of closed zones known.
	closedZones closedzones.Set
	// loads holds the loads of queues that the last owner reported.
	loads knownLoads
	// lock is this host's part in the advisory lock for takeovers.
	lock takeoverLock
	// attempted is the last attempt to acquire the domain.
	attempted attempted
	// payloadCache holds the payloads of jobs whose starts this host relays.
	payloadCache payloadCache
	// relays is the number of relays per zone reported by the last owner.
	relaysPerZone atomic.Int64
}

// NewNode returns a Node. The caller serves its peer server and calls Run.
func NewNode(opts Options) *Node {
	po := peerOptions(&opts)
	n := &Node{
		opts: opts, client: peer.NewClient(po, newRand()),
		server:    peer.NewServer(po, func(string, netip.Addr) bool { return true }),
		configSet: make(chan struct{}), changed: make(chan struct{}),
	}
	n.handle()
	n.handleGossip()
	n.handleRelayedOrders()
	n.handleLock()
	n.client.SetPeers(n.peers(election.Record{}))
	return n
}

// peerOptions returns the options of connections to other hosts.
func peerOptions(o *Options) peer.Options {
	return peer.Options{
		Host: o.Host, Log: o.Log, UserTimeout: peerUserTimeout, HandshakeTimeout: pingTimeout,
		MaxBackoff: peerMaxBackoff, AcceptAnyHost: true, Dial: o.Dial,
	}
}

// newRand returns a random source for reconnection delays.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // nothing secret
}

// peers returns the addresses of the seeds, known hosts and the leader by name.
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
	// peerUserTimeout is the time after which connections with unacknowledged data
	// are closed. It is shorter than the time to a takeover.
	peerUserTimeout = time.Second
	// peerMaxBackoff bounds the delay between dials to a peer.
	peerMaxBackoff = 300 * time.Millisecond
)

// Server returns the server of peers' requests.
func (n *Node) Server() *peer.Server { return n.server }

// SetConfig applies a configuration unless the same or a newer version is
// already in use.
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

// setConfig applies a configuration at the owner.
func (o *Owner) setConfig(c Config) {
	if c.Version <= o.config.Version {
		return
	}
	o.config = c
	o.state.SetQueues(c.Queues)
}

// catchUp applies the configuration and the bounds that were set between the owner's creation
// and the time from which such changes are passed to it.
func (o *Owner) catchUp(c Config, retention, tailBound time.Duration) {
	go o.post(func() {
		o.setConfig(c)
		o.state.SetBounds(retention, tailBound)
	})
}

// SetBounds changes the retention and the tail bound of this and later owners.
func (n *Node) SetBounds(retention, tailBound time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opts.Retention, n.opts.TailBound = retention, tailBound
	if o := n.owner; o != nil {
		go o.post(func() { o.state.SetBounds(retention, tailBound) })
	}
}

// Ready reports whether the host can serve callers: it has a configuration, and
// it is the owner and its commits succeed or the owner has answered recently.
func (n *Node) Ready() bool {
	if n.config.Load() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner != nil {
		return n.owner.commitAge() < election.Validity
	}
	return n.leaderSeen > 0 && boottime()-n.leaderSeen < leaderFreshness
}

// leaderFreshness is the age of the owner's last answer up to which the host is
// ready. It spans a takeover.
const leaderFreshness = 3 * time.Second

// current returns this host's Owner, or nil if this host doesn't own the domain;
// the owner's row as last known, empty if no owner is known; and a channel that
// is closed when either changes.
func (n *Node) current() (*Owner, election.Record, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner, n.leader, n.changed
}

// setLeader records the owner's row r and, if this host is the owner, its Owner
// o, which is nil otherwise. An owner of which a newer one is known ends: the newer
// one relies on this host's answer to its notification. setLeader wakes requests
// that wait for a change of owner and, if o is nil, updates the addresses in the peer
// client.
func (n *Node) setLeader(r election.Record, o *Owner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leader, n.owner = r, o
	if c := n.config.Load(); o != nil && c != nil {
		o.catchUp(*c, n.opts.Retention, n.opts.TailBound)
	}
	n.loads.setUnanswered(false)
	if newest := max(n.maxEpoch, n.hint.Epoch); o != nil && newest > r.Epoch {
		o.quit(errors.Wrapf(election.ErrDeposed, "epoch %d has an owner", newest))
	}
	n.maxEpoch = max(n.maxEpoch, r.Epoch)
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

// ownerlessFor returns how long no owner has been known.
func (n *Node) ownerlessFor() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownerlessSince.IsZero() {
		return 0
	}
	return time.Since(n.ownerlessSince)
}

// recordLeaderAnswer records the time of an answer from the leader.
func (n *Node) recordLeaderAnswer() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaderSeen = boottime()
}

// Run waits for the first configuration, and then follows the owner or leads the
// domain until the context ends.
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

// Resign gives the domain up for a planned stop and keeps this host from
// acquiring it again.
func (n *Node) Resign(ctx context.Context) {
	n.mu.Lock()
	n.resigned = true
	o := n.owner
	n.mu.Unlock()
	if o != nil {
		o.resign(ctx)
	}
}

// stopping reports whether the host must not own the domain any more.
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
