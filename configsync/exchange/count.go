package exchange

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/configstore"
)

const (
	// countInterval is the time between two counts of the hosts that hold a version.
	countInterval = 50 * time.Millisecond
	// countFanout is the largest number of peers that are being asked in a count.
	countFanout = 64
	// counters is how many hosts, on average, count in a round while a version isn't
	// in force. Others hear of the result.
	counters = 8
)

// Accept holds a configuration that the store has accepted from this host, pushes it,
// and waits until it is in force here. It reports whether it is; if ctx ends first, it
// will be once most hosts have it.
func (e *Exchange) Accept(ctx context.Context, o configstore.Offer) bool {
	e.hold(o)
	background := context.WithoutCancel(ctx)
	go e.Push(background)
	return e.awaitInForce(ctx, background, o.Head.Version)
}

// countUntil counts the hosts that hold a version until it is in force or a time has
// passed.
func (e *Exchange) countUntil(ctx context.Context, version uint64, limit time.Duration) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	e.awaitInForce(limited, ctx, version)
}

// awaitInForce waits until a version or a newer one is in force, or ctx ends, and
// reports which. It counts the hosts that hold the version meanwhile; its requests end
// with background.
func (e *Exchange) awaitInForce(ctx, background context.Context, version uint64) bool {
	ticker := time.NewTicker(countInterval)
	defer ticker.Stop()
	for {
		applied := e.appliedSignal()
		if inForce, known := e.holder.Version(); known && inForce >= version {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-applied:
		case <-ticker.C:
			e.count(background, version)
		}
	}
}

// appliedSignal returns a channel that is closed when a version is put into force.
func (e *Exchange) appliedSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.applied
}

// count asks peers that aren't known to hold a version for theirs. It doesn't wait for
// their answers.
func (e *Exchange) count(ctx context.Context, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.versions.Uncounted(e.random, version, time.Now()) {
		if len(e.counting) >= countFanout {
			return
		}
		if e.counting[p] {
			continue
		}
		e.counting[p] = true
		go e.countPeer(ctx, p)
	}
}

// countPeer asks a peer for its versions.
func (e *Exchange) countPeer(ctx context.Context, host string) {
	e.ask(ctx, host)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.counting, host)
}

// isCounter reports whether this host counts in this round.
func (e *Exchange) isCounter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	hosts := e.versions.Hosts()
	return hosts > 0 && (hosts <= counters || e.random.IntN(hosts) < counters)
}
