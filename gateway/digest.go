package gateway

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
)

// MethodFree tells a peer of this host's free slots.
const MethodFree peer.Method = "free"

const (
	// digestInterval is how often changes of the free slots are sent.
	digestInterval = 50 * time.Millisecond
	// digestRefresh is how often all free slots are sent though unchanged.
	digestRefresh = time.Second
	// digestTimeout bounds the sending of one digest.
	digestTimeout = 500 * time.Millisecond
	// digestFanOut bounds how many digests are sent at once.
	digestFanOut = 16
)

// freeDigest is a peer's free slots, or their changes.
type freeDigest struct {
	Zone string         `msgpack:"z"`
	Free map[string]int `msgpack:"f"`
	// Whole is set when services left out have none.
	Whole bool `msgpack:"w,omitempty"`
}

type freeReply struct{}

// digestSender is what Run remembers between digests.
type digestSender struct {
	sent   map[string]int
	whole  time.Time
	silent map[string]bool
}

// Run sends digests of free slots to peers, and gives slots that became
// usable with time (after an ejection, a slow start or a new grant) to
// requests that wait, until the context ends.
func (g *Gateway) Run(ctx context.Context) error {
	tick := time.NewTicker(digestInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			g.mu.Lock()
			g.serveQueues()
			g.mu.Unlock()
			g.sendDigests(ctx)
		}
	}
}

// sendDigests sends what changed since the last digest, or all of it now and
// then, to every peer.
func (g *Gateway) sendDigests(ctx context.Context) {
	now := time.Now()
	g.mu.Lock()
	free := g.pool.Free(now, g.opt.Shares.View())
	hosts := g.hosts
	stopping := g.stopping
	g.mu.Unlock()
	if g.opt.Peers == nil || len(hosts) == 0 {
		return
	}
	if stopping {
		clear(free)
	}
	d := g.digests.next(now, g.opt.Zone, free)
	if d == nil {
		return
	}
	g.broadcast(ctx, hosts, d)
}

// next returns the digest that is due at now, or nil.
func (s *digestSender) next(now time.Time, zone string, free map[string]int) *freeDigest {
	if now.Sub(s.whole) >= digestRefresh {
		s.whole = now
		s.sent = free
		return &freeDigest{Zone: zone, Free: free, Whole: true}
	}
	delta := maps.Clone(free)
	maps.DeleteFunc(delta, func(service string, n int) bool {
		was, ok := s.sent[service]
		return ok && was == n
	})
	for service := range s.sent {
		if _, ok := free[service]; !ok && s.sent[service] != 0 {
			delta[service] = 0
		}
	}
	s.sent = free
	if len(delta) == 0 {
		return nil
	}
	return &freeDigest{Zone: zone, Free: delta}
}

// broadcast sends a digest to the peers, a bounded number at once.
func (g *Gateway) broadcast(ctx context.Context, hosts []PeerHost, d *freeDigest) {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	taken := make([]bool, len(hosts))
	var all errgroup.Group
	all.SetLimit(digestFanOut)
	for i, h := range hosts {
		all.Go(func() error {
			res := g.opt.Peers.Call(ctx, h.Name, MethodFree, d, &freeReply{})
			taken[i] = res.Kind == outcome.Answered
			return nil
		})
	}
	_ = all.Wait() // its functions return no error
	for i, h := range hosts {
		g.digests.note(g.opt.Log, h.Name, taken[i])
	}
}

// note logs when a peer stops or resumes taking digests.
func (s *digestSender) note(log *slog.Logger, host string, taken bool) {
	if s.silent == nil {
		s.silent = map[string]bool{}
	}
	was := s.silent[host]
	s.silent[host] = !taken
	switch {
	case !taken && !was:
		event.PeerDigestLost.Log(log, slog.String("host", host))
	case taken && was:
		event.PeerDigestTaken.Log(log, slog.String("host", host))
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
