package exchange

import (
	"context"
	"time"
)

// startFanout is the largest number of peers that a starting host asks in a round. Two
// rounds must reach most hosts of a large site of which a third is silent.
const startFanout = 192

// start takes the newest version of the peers as soon as enough of them have answered.
func (e *Exchange) start(ctx context.Context) {
	e.mu.Lock()
	peers := e.versions.Peers()
	missing := e.startup.Missing(peers, time.Now())
	e.random.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	e.mu.Unlock()
	missing = missing[:min(startFanout, len(missing))]
	answered := make(chan struct{}, len(missing))
	for _, p := range missing {
		go func() {
			e.askToStart(ctx, p)
			answered <- struct{}{}
		}()
	}
	for range missing {
		if e.takeNewest(ctx, peers) {
			return
		}
		<-answered
	}
	e.takeNewest(ctx, peers)
}

// takeNewest takes the newest version of the peers if this host may, and reports whether
// it may.
func (e *Exchange) takeNewest(ctx context.Context, peers []string) bool {
	e.mu.Lock()
	newest, version, ok := e.startup.Newest(peers, time.Now())
	e.mu.Unlock()
	if ok {
		e.fetch(ctx, newest, version)
	}
	return ok
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
