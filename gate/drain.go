package gate

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/internal/pause"
)

// drain stops the host without cutting anything off: it tells the balancer,
// goes on serving until the balancer has noticed, hands over what it owns
// while peers take over, finishes what is in flight, and writes what is still
// to be kept.
func (g *Gate) drain(ctx context.Context, s servers) error {
	event.DrainStarted.Log(g.deps.Log, slog.String("host", g.local.Host.Name))
	began := g.deps.Now()
	g.state.Store(int32(Draining))
	ctx, cancel := context.WithTimeout(ctx, g.local.Host.DrainTimeout.D())
	defer cancel()
	pause.For(ctx, g.local.Host.DrainDelay.D())
	handed := g.handOver(ctx)
	shutDown(ctx, s.callers)
	stopped := g.gateway.Stop(ctx)
	flushed := g.book.Flush(ctx)
	g.slo.Close(ctx)
	err := errors.CombineErrors(errors.CombineErrors(handed, stopped), flushed)
	if peers := g.peerServer.Shutdown(ctx); peers != nil {
		err = errors.CombineErrors(err, peers)
	}
	g.peers.Close()
	shutDown(ctx, s.operators)
	event.DrainFinished.Log(g.deps.Log, slog.Duration("took", g.deps.Now().Sub(began)), slog.Any("error", err))
	return errors.Wrap(err, "drain")
}

// handOver gives up what the host owns, in at most half of the time that is
// left: while the table is down nothing can be handed over, and what is in
// flight must still be finished. Others take over once the session has lapsed.
func (g *Gate) handOver(ctx context.Context) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		panic("gate: a drain has no deadline")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
	defer cancel()
	return g.keeper.HandOver(ctx)
}
