package gate

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/gateway"
)

// servers are the running servers of a host.
type servers struct {
	callers   *http.Server
	operators *http.Server
}

// Run serves on the listeners until ctx ends or a drain is asked for, then
// drains and returns. The error is nil after a whole drain.
func (g *Gate) Run(ctx context.Context, l Listeners) error {
	// Background work outlives ctx: a drain still needs it.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	event.HostStarted.Log(g.deps.Log, slog.String("host", g.local.Host.Name), slog.String("incarnation", g.incarnation))
	s := g.serve(background, &wg, l)
	g.startBackground(background, &wg)
	select {
	case <-ctx.Done():
	case <-g.drained:
	}
	return g.drain(background, s)
}

// BeginDrain asks Run to drain and return.
func (g *Gate) BeginDrain() {
	g.drainOnce.Do(func() { close(g.drained) })
}

// serve starts the three servers.
func (g *Gate) serve(ctx context.Context, wg *sync.WaitGroup, l Listeners) servers {
	s := servers{
		callers:   gateway.NewServer(g.callersHandler()),
		operators: &http.Server{Handler: g.operatorsHandler(), ReadHeaderTimeout: operatorTimeout},
	}
	if g.guard == nil {
		event.OperatorPortOpen.Log(g.deps.Log, slog.String("address", l.Operators.Addr().String()))
	}
	callers := gateway.LimitConnections(l.Callers, func() int { return g.watcher.Calls().ConnectionsPerCaller })
	g.goServe(wg, func() error { return s.callers.Serve(g.secure(callers)) })
	g.goServe(wg, func() error { return s.operators.Serve(g.secure(l.Operators)) })
	g.goServe(wg, func() error { return g.peerServer.Serve(ctx, l.Peers) })
	return s
}

// secure puts TLS on a listener if the host has a certificate.
func (g *Gate) secure(l net.Listener) net.Listener {
	if g.identity == nil {
		return l
	}
	return tls.NewListener(l, g.identity.ServerConfig(false))
}

func (g *Gate) goServe(wg *sync.WaitGroup, f func() error) {
	wg.Go(func() {
		if err := f(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			event.ServerFailed.Log(g.deps.Log, slog.Any("error", err))
			g.BeginDrain()
		}
	})
}

// startBackground starts everything that runs until the host stops.
func (g *Gate) startBackground(ctx context.Context, wg *sync.WaitGroup) {
	g.watcher.Subscribe(g.takeConfig)
	g.keeper.Subscribe(g.batch.SetOwnership)
	poller := &memberPoller{
		members: g.deps.Members, interval: g.local.Platform.MembersInterval.D(),
		timeout: g.local.Platform.Timeout.D(), log: g.deps.Log, now: g.deps.Now, onList: g.takeList,
	}
	wg.Go(func() { g.journal.Run(ctx) })
	wg.Go(func() { g.watcher.Run(ctx, g.local.Platform.ConfigInterval.D()) })
	wg.Go(func() { g.spreader.run(ctx) })
	wg.Go(func() { _ = g.keeper.Run(ctx) })
	wg.Go(func() { _ = g.gateway.Run(ctx) })
	wg.Go(func() { g.batch.Run(ctx) })
	wg.Go(func() { g.slo.Run(ctx) })
	wg.Go(func() { newJanitor(g).run(ctx) })
	wg.Go(func() { poller.run(ctx) })
}

// takeConfig brings a configuration into force in every part.
func (g *Gate) takeConfig(c configstore.Current) {
	g.slo.SetObjectives(c.Settings.Objectives)
	g.gateway.SetCalls(c.Settings.Calls)
	g.journal.SetSettings(c.Settings.Batch)
	g.batch.SetPolicy(c.Settings.Batch, planning(c.Settings))
	g.becomeReady()
}

// feedKeeper gives the newest roster to whoever owns shards, once the host is
// no longer starting. The lock keeps an older one from coming second.
func (g *Gate) feedKeeper() {
	g.feeding.Lock()
	defer g.feeding.Unlock()
	if g.State() != Starting {
		g.keeper.SetRoster(*g.roster.Load())
	}
}

// becomeReady takes requests and shards once the configuration and the members
// are known: before, an older configuration would be brought back for them.
func (g *Gate) becomeReady() {
	if _, ok := g.watcher.Version(); !ok || !g.roster.Load().Known() {
		return
	}
	if g.state.CompareAndSwap(int32(Starting), int32(Ready)) {
		g.feedKeeper()
		event.HostReady.Log(g.deps.Log, slog.String("host", g.local.Host.Name))
	}
}
