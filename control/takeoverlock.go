package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// methodLock asks for the advisory lock that the host keeps for others.
const methodLock peer.Method = "control.lock"

// lockReply is the answer to an election.LockRequest.
type lockReply struct {
	Held bool `msgpack:"h"`
}

const (
	// maxLockHosts bounds the hosts that are asked for the advisory lock in one round.
	maxLockHosts = 6
	// lockTimeout bounds one request, and a host that didn't answer isn't asked again for
	// lockHostRetry.
	lockTimeout   = 300 * time.Millisecond
	lockHostRetry = 2 * time.Second
	// maxUnlockedDelay bounds the delay of hosts that reach no other host, and
	// minUnlockedHosts is the least number of hosts for which they wait: after a restart
	// of all hosts the number may be unknown.
	maxUnlockedDelay = 10 * time.Second
	minUnlockedHosts = 30
)

// takeoverLock is a node's part in the advisory lock: the one that it keeps for others,
// and what it knows of the hosts that keep it.
type takeoverLock struct {
	kept election.AdvisoryLock
	mu   sync.Mutex
	// skipUntil tells until when hosts that didn't answer aren't asked.
	skipUntil map[string]time.Time
}

// handleLock registers the handler of methodLock.
func (n *Node) handleLock() {
	n.server.Handle(methodLock, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var q election.LockRequest
		if err := decode(&q); err != nil {
			return nil, err
		}
		return lockReply{Held: n.lock.kept.Handle(q, boottime())}, nil
	})
}

// lockHosts returns the addresses of the hosts that may keep the advisory lock, in the
// order in which every host asks them: the seeds, which all hosts know, and then the
// other known hosts and this one.
func (n *Node) lockHosts() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := slices.Sorted(slices.Values(n.opts.Seeds))
	others := append(slices.Clone(n.hosts), n.opts.Address)
	slices.Sort(others)
	all = append(all, others...)
	var distinct []string
	for _, address := range all {
		if !slices.Contains(distinct, address) {
			distinct = append(distinct, address)
		}
	}
	return distinct
}

// lockResult is the result of a request for the advisory lock.
type lockResult struct {
	// address is that of the host that keeps the lock.
	address string
	held    bool
	// shared is set if other hosts ask the same host, or there are none. A host that
	// reaches no other one keeps a lock that nobody else asks for.
	shared bool
}

// askForLock asks the first host that answers for the advisory lock on a version of the
// owner's row.
func (n *Node) askForLock(ctx context.Context, version uint64) lockResult {
	asked := 0
	for _, address := range n.lockHosts() {
		if address == n.opts.Address || asked == maxLockHosts {
			break
		}
		if n.lock.skips(address) {
			continue
		}
		asked++
		if answer := n.requestLock(ctx, address, version, false); answer != lockUnanswered {
			return lockResult{address: address, held: answer == lockHeld, shared: true}
		}
		n.lock.skip(address)
	}
	held := n.requestLock(ctx, n.opts.Address, version, false) == lockHeld
	shared := len(n.opts.Seeds) == 0 || slices.Contains(n.opts.Seeds, n.opts.Address)
	return lockResult{address: n.opts.Address, held: held, shared: shared}
}

// lockAnswer is a host's answer to a request for the advisory lock.
type lockAnswer uint8

const (
	lockUnanswered lockAnswer = iota
	lockDenied
	lockHeld
)

// requestLock asks a host, which may be this one, for the lock, or releases it there.
func (n *Node) requestLock(ctx context.Context, address string, version uint64, release bool) lockAnswer {
	q := election.LockRequest{Incarnation: n.opts.Incarnation, Version: version, Release: release}
	var r lockReply
	if address == n.opts.Address {
		r.Held = n.lock.kept.Handle(q, boottime())
	} else {
		ctx, cancel := context.WithTimeout(ctx, lockTimeout)
		defer cancel()
		if res := n.client.Call(ctx, seedName(address), methodLock, q, &r); res.Kind != outcome.Answered {
			return lockUnanswered
		}
	}
	if r.Held {
		return lockHeld
	}
	return lockDenied
}

// keepLock renews the lock until the context ends, and calls denied if this host no longer
// holds it. A host that stops to answer doesn't end the attempt under way.
func (n *Node) keepLock(ctx context.Context, address string, version uint64, denied func()) {
	t := time.NewTicker(election.LockRenewInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if n.requestLock(ctx, address, version, false) == lockDenied {
			denied()
			return
		}
	}
}

// unlockedDelay returns how long a host waits that reaches no other host and so has to try
// without the lock: a random time in which each of the hosts could commit once.
func unlockedDelay(hosts int, readTime time.Duration) time.Duration {
	window := min(time.Duration(max(hosts, minUnlockedHosts))*slowReadFactor*readTime, maxUnlockedDelay)
	return time.Duration(rand.Int64N(int64(window) + 1)) //nolint:gosec // nothing secret
}

// skips reports whether a host didn't answer lately.
func (l *takeoverLock) skips(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.skipUntil[address])
}

// skip records that a host didn't answer.
func (l *takeoverLock) skip(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.skipUntil == nil {
		l.skipUntil = map[string]time.Time{}
	}
	l.skipUntil[address] = time.Now().Add(lockHostRetry)
}
