package gate

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/internal/pause"
)

// drain stops the host without aborting requests. It reports not ready, keeps
// serving for DrainDelay until the balancer has noticed, hands over its
// shards, finishes requests in flight and flushes pending records.
func (g *Gate) drain(ctx context.Context, s servers) error {
	event.DrainStarted.Log(g.deps.Log, slog.String("host", g.local.Host.Name))
	began := g.deps.Now()
	g.state.Store(int32(Draining))
	ctx, cancel := context.WithTimeout(ctx, g.local.Host.DrainTimeout.D())
	defer cancel()
	pause.For(ctx, g.local.Host.DrainDelay.D())
	handOverErr := g.handOver(ctx)
	shutDown(ctx, s.callers)
	gatewayErr := g.gateway.Stop(ctx)
	flushErr := g.bookings.Flush(ctx)
	g.slo.Close(ctx)
	err := errors.CombineErrors(errors.CombineErrors(handOverErr, gatewayErr), flushErr)
	if peersErr := g.peerServer.Shutdown(ctx); peersErr != nil {
		err = errors.CombineErrors(err, peersErr)
	}
	g.peers.Close()
	shutDown(ctx, s.operators)
	event.DrainFinished.Log(g.deps.Log, slog.Duration("took", g.deps.Now().Sub(began)), slog.Any("error", err))
	return errors.Wrap(err, "drain")
}

// handOver hands over the host's shards. It takes at most half of the remaining
// drain time, because a handover can't succeed while the table is down and
// requests in flight must still finish. Shards that were not handed over are
// taken over by other hosts once the session has expired.
func (g *Gate) handOver(ctx context.Context) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		panic("gate: a drain has no deadline")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
	defer cancel()
	return g.ownershipDriver.HandOver(ctx)
}
