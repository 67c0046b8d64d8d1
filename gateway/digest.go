package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/internal/standstill"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// MethodFreeSlots tells a peer of this host's free slots.
const MethodFreeSlots peer.Method = "free"

const (
	// digestInterval is how often changes of the free slots are sent.
	digestInterval = standstill.TickInterval
	// digestRefresh is how often all free slots are sent though unchanged.
	digestRefresh = time.Second
	// digestTimeout bounds the sending of one digest.
	digestTimeout = 500 * time.Millisecond
)

// freeDigest is a peer's free slots, or their changes.
type freeDigest struct {
	Zone string         `msgpack:"z"`
	Free map[string]int `msgpack:"f"`
	// Whole is set when services left out can't be served there.
	Whole bool `msgpack:"w,omitempty"`
}

type freeReply struct{}

// Run notes that this process runs, sends digests of free slots to peers, and
// gives slots that became usable with time (after an ejection, a slow start or a
// new grant) to requests that wait, until the context ends.
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
			g.beat()
			g.mu.Lock()
			g.serveQueues()
			g.noteUnserved(time.Now())
			g.mu.Unlock()
			g.sendDigests(ctx, &sending)
		}
	}
}

// beat notes that this process runs.
func (g *Gateway) beat() {
	g.mu.Lock()
	stood := g.stood.Tick(time.Now())
	g.mu.Unlock()
	if stood > 0 {
		event.ProcessPaused.Log(g.opt.Log, slog.Int64("ms", stood.Milliseconds()))
	}
}

// sendDigests starts to send each peer what changed since its last digest, or
// all of it now and then. A peer that is slow to answer delays no other.
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
	for _, host := range g.digests.turn(hosts, g.opt.DigestFanOut) {
		d := g.digests.next(now, host, g.opt.Zone, free)
		if d == nil {
			continue
		}
		sending.Go(func() { g.sendDigest(ctx, host, d) })
	}
}

func (g *Gateway) sendDigest(ctx context.Context, host string, d *freeDigest) {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	res := g.opt.Peers.Call(ctx, host, MethodFreeSlots, d, &freeReply{})
	switch g.digests.done(host, res.Kind == outcome.Answered) {
	case digestsLost:
		event.PeerDigestFailed.Log(g.opt.Log, slog.String("host", host))
	case digestsBack:
		event.PeerDigestRestored.Log(g.opt.Log, slog.String("host", host))
	}
}

// handleFree takes a peer's digest in.
func (g *Gateway) handleFree(_ context.Context, from string, decode func(any) error) (any, error) {
	var d freeDigest
	if err := decode(&d); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.peers.Update(now, from, d.Zone, d.Free, d.Whole)
	for service, q := range g.queues {
		g.forwardQueue(now, service, q)
	}
	return freeReply{}, nil
}
