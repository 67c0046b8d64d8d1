package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/internal/processpause"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// MethodFreeSlots sends a digest of this host's free slots to a peer.
const MethodFreeSlots peer.Method = "free"

const (
	// digestInterval is the interval at which changes of free slots are sent.
	digestInterval = processpause.TickInterval
	// digestRefresh is the interval at which all free slots are sent even if
	// unchanged.
	digestRefresh = time.Second
	// digestTimeout limits the sending of one digest.
	digestTimeout = 500 * time.Millisecond
)

// slotDigest is a host's free slots by service, or their changes.
type slotDigest struct {
	Zone string         `msgpack:"z"`
	Free map[string]int `msgpack:"f"`
	// Complete is set if the host can't serve services that Free doesn't list.
	Complete bool `msgpack:"w,omitempty"`
}

type slotDigestReply struct{}

// Run does the gateway's periodic work until the context ends: it detects
// process pauses, sends digests to peers, refuses calls of services that no
// host can serve, and assigns slots that become usable with time (after an
// ejection, a slow start or a new grant) to waiting requests.
func (g *Gateway) Run(ctx context.Context) error {
	tick := time.NewTicker(digestInterval)
	defer tick.Stop()
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			g.tick(ctx, &sending)
		}
	}
}

// tick does the periodic work once. Digests are sent in the background, counted by
// sending.
func (g *Gateway) tick(ctx context.Context, sending *sync.WaitGroup) {
	g.recordTick()
	g.mu.Lock()
	g.serveQueues()
	g.updateUnserved(time.Now())
	g.mu.Unlock()
	g.sendDigests(ctx, sending)
}

// recordTick updates the detector of process pauses, and tells the queues of a pause.
func (g *Gateway) recordTick() {
	g.mu.Lock()
	now := time.Now()
	paused := g.pauses.Tick(now)
	if paused > 0 {
		for _, q := range g.queues {
			q.Resume(g.pauses.RunningTime(now), paused)
		}
	}
	g.mu.Unlock()
	if paused > 0 {
		event.ProcessPaused.Log(g.opt.Log, slog.Int64("ms", paused.Milliseconds()))
	}
}

// sendDigests sends each peer in the background what changed since its last
// digest, or a complete digest every digestRefresh.
func (g *Gateway) sendDigests(ctx context.Context, sending *sync.WaitGroup) {
	if g.opt.Peers == nil {
		return
	}
	now := time.Now()
	g.mu.Lock()
	free := g.pool.FreeByService(now, g.opt.Ownership.Snapshot())
	hosts := g.hosts
	if g.stopping {
		clear(free)
	}
	g.mu.Unlock()
	for _, host := range g.digests.nextPeers(hosts, g.opt.DigestFanOut) {
		d := g.digests.nextDigest(now, host, g.opt.Zone, free)
		if d == nil {
			continue
		}
		sending.Go(func() { g.sendDigest(ctx, host, d) })
	}
}

func (g *Gateway) sendDigest(ctx context.Context, host string, d *slotDigest) {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	res := g.opt.Peers.Call(ctx, host, MethodFreeSlots, d, &slotDigestReply{})
	switch g.digests.recordResult(host, res.Kind == outcome.Answered) {
	case digestsFailing:
		event.PeerDigestFailed.Log(g.opt.Log, slog.String("host", host))
	case digestsRecovered:
		event.PeerDigestRestored.Log(g.opt.Log, slog.String("host", host))
	}
}

// handleFreeSlots records a peer's digest and forwards waiting requests to it.
func (g *Gateway) handleFreeSlots(_ context.Context, from string, decode func(any) error) (any, error) {
	var d slotDigest
	if err := decode(&d); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.peers.Update(now, from, d.Zone, d.Free, d.Complete)
	for service, q := range g.queues {
		g.forwardQueue(now, service, q)
	}
	return slotDigestReply{}, nil
}
