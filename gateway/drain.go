package gateway

import (
	"context"
	"log/slog"

	"github.com/fireflygate/fireflygate/event"
)

// Drain waits until this host has no request in flight at the endpoints of a
// shard. The shard's grants must be revoked first, so that no new request
// starts.
func (g *Gateway) Drain(ctx context.Context, shard string) error {
	err := g.waitUntil(ctx, func() bool { return g.pool.InUse(shard) == 0 })
	if err == nil {
		event.ShardDrained.Log(g.opt.Log, slog.String("shard", shard))
	}
	return err
}

// Stop refuses new requests and waits until all requests in flight are
// answered and no endpoint works on one any more.
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

// waitUntil waits until condition returns true or ctx ends. The condition is
// called with g.mu held, again after each change of the state.
func (g *Gateway) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		g.mu.Lock()
		ok, changed := condition(), g.stateChanged
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
