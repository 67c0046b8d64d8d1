package exchange

import (
	"context"
	"sync"
	"time"
)

// startFanout is the largest number of peers that a starting host asks in a round.
const startFanout = 64

// Accepted implements configstore.Receiver. A host that starts takes nothing older from
// its peers.
func (e *Exchange) Accepted(version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startup.Accept(version)
}

// start takes the newest version of the peers once all of them have answered with one.
func (e *Exchange) start(ctx context.Context) {
	e.mu.Lock()
	peers := e.versions.Peers()
	missing := e.startup.Missing(peers, time.Now())
	e.mu.Unlock()
	var pending sync.WaitGroup
	for _, p := range missing[:min(startFanout, len(missing))] {
		pending.Go(func() { e.askToStart(ctx, p) })
	}
	pending.Wait()
	e.mu.Lock()
	newest, version, ok := e.startup.Newest(peers, time.Now())
	e.mu.Unlock()
	if ok {
		e.fetch(ctx, newest, version)
	}
}

// askToStart asks a peer for its version and records the answer for the decision
// which version to start with.
func (e *Exchange) askToStart(ctx context.Context, host string) {
	asked := time.Now()
	theirs, ok := e.ask(ctx, host)
	if !ok || !theirs.known() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startup.Record(host, theirs.report(), asked)
}

// Confirmed implements configstore.Receiver.
func (e *Exchange) Confirmed(version uint64) {
	e.mu.Lock()
	e.confirmation.Record(version)
	e.mu.Unlock()
	e.applyConfirmed()
}

// ToRecord implements configstore.Receiver.
func (e *Exchange) ToRecord(recorded uint64) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmation.ToRecord(recorded, e.versions.Hosts(), e.random)
}
