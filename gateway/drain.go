package gateway

import (
	"context"
	"log/slog"

	"github.com/fireflygate/fireflygate/event"
)

// Drain waits until nothing of this host is in flight at the endpoints of a
// shard. Its grants must be taken away first, so that nothing new starts.
func (g *Gateway) Drain(ctx context.Context, shard string) error {
	err := g.waitUntil(ctx, func() bool { return g.pool.InUse(shard) == 0 })
	if err == nil {
		event.ShardDrained.Log(g.opt.Log, slog.String("shard", shard))
	}
	return err
}

// Stop refuses new requests and waits until those of callers have their whole
// answer and every endpoint is done with them.
func (g *Gateway) Stop(ctx context.Context) error {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	err := g.waitUntil(ctx, func() bool { return g.active == 0 && g.pool.InUse("") == 0 })
	if err != nil {
		event.GatewayStopTimeout.Log(g.opt.Log)
		return err
	}
	g.background.Wait()
	g.mu.Lock()
	for _, c := range g.clients {
		c.transport.CloseIdleConnections()
	}
	g.mu.Unlock()
	event.GatewayDrained.Log(g.opt.Log)
	return nil
}

// waitUntil waits for a condition on the state, which it reads under the lock.
func (g *Gateway) waitUntil(ctx context.Context, holds func() bool) error {
	for {
		g.mu.Lock()
		ok, changed := holds(), g.changed
		g.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
