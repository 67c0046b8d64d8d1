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
	"github.com/fireflygate/fireflygate/ingress"
)

// servers are the HTTP servers of a host.
type servers struct {
	callers   *http.Server
	operators *http.Server
}

// Run serves on the listeners until ctx ends or BeginDrain is called, then
// drains the host. It returns nil if the drain completed.
func (g *Gate) Run(ctx context.Context, l Listeners) error {
	// The drain needs the background goroutines after ctx has ended.
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
	case <-g.drainRequested:
	}
	return g.drain(background, s)
}

// BeginDrain makes Run drain the host and return.
func (g *Gate) BeginDrain() {
	g.drainOnce.Do(func() { close(g.drainRequested) })
}

// serve starts the servers for callers, operators and peers.
func (g *Gate) serve(ctx context.Context, wg *sync.WaitGroup, l Listeners) servers {
	s := servers{
		callers:   gateway.NewServer(g.callersHandler()),
		operators: g.newOperatorServer(),
	}
	if g.guard == nil {
		event.OperatorPortOpen.Log(g.deps.Log, slog.String("address", l.Operators.Addr().String()))
	}
	callers := gateway.LimitConnections(l.Callers, func() int { return g.watcher.Calls().ConnectionsPerCaller })
	g.goServe(wg, func() error { return gateway.Serve(s.callers, g.withTLS(callers), g.callersBudget) })
	operators := ingress.NewListener(g.withTLS(l.Operators), g.operatorsBudget, gateway.RefuseHeader)
	g.goServe(wg, func() error { return s.operators.Serve(operators) })
	g.goServe(wg, func() error { return g.peerServer.Serve(ctx, l.Peers) })
	return s
}

// withTLS wraps a listener in TLS if the host has a certificate.
func (g *Gate) withTLS(l net.Listener) net.Listener {
	if g.identity == nil {
		return l
	}
	return tls.NewListener(l, g.identity.ServerConfig(false))
}

// goServe runs a server in the background. If the server fails, it logs the error
// and starts a drain.
func (g *Gate) goServe(wg *sync.WaitGroup, f func() error) {
	wg.Go(func() {
		if err := f(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			event.ServerFailed.Log(g.deps.Log, slog.Any("error", err))
			g.BeginDrain()
		}
	})
}

// startBackground starts the goroutines that run until ctx ends.
func (g *Gate) startBackground(ctx context.Context, wg *sync.WaitGroup) {
	g.watcher.Subscribe(g.applyConfig)
	g.ownershipDriver.Subscribe(g.batch.SetOwnership)
	poller := &memberPoller{
		members: g.deps.Members, interval: g.local.Platform.MembersInterval.D(),
		timeout: g.local.Platform.Timeout.D(), log: g.deps.Log, now: g.deps.Now, onList: g.applyMembers,
	}
	wg.Go(func() { g.journal.Run(ctx) })
	wg.Go(func() { g.watcher.Run(ctx, g.local.Platform.ConfigInterval.D()) })
	wg.Go(func() { g.configSync.run(ctx) })
	wg.Go(func() { _ = g.ownershipDriver.Run(ctx) })
	wg.Go(func() { _ = g.gateway.Run(ctx) })
	wg.Go(func() { g.batch.Run(ctx) })
	wg.Go(func() { g.slo.Run(ctx) })
	wg.Go(func() { newJanitor(g).run(ctx) })
	wg.Go(func() { poller.run(ctx) })
}

// applyConfig applies a configuration to all components.
func (g *Gate) applyConfig(c configstore.Current) {
	g.slo.SetObjectives(c.Settings.Objectives)
	g.gateway.SetCalls(c.Settings.Calls)
	g.journal.SetSettings(c.Settings.Batch)
	g.batch.SetPolicy(c.Settings.Batch, plannerOptions(c.Settings))
	g.setClosedZones(c)
	g.becomeReady()
}

// updateOwnership passes the newest roster to the ownership driver unless the
// host is starting. The lock keeps an older roster from replacing a newer one.
func (g *Gate) updateOwnership() {
	g.ownershipMu.Lock()
	defer g.ownershipMu.Unlock()
	if g.State() != Starting {
		g.ownershipDriver.SetRoster(*g.roster.Load())
	}
}

// becomeReady makes the host accept requests and shards once the configuration
// and the membership list are known. Before that it would serve them with an
// outdated configuration.
func (g *Gate) becomeReady() {
	if _, ok := g.watcher.Version(); !ok || !g.roster.Load().Known() {
		return
	}
	if g.state.CompareAndSwap(int32(Starting), int32(Ready)) {
		g.updateOwnership()
		event.HostReady.Log(g.deps.Log, slog.String("host", g.local.Host.Name))
	}
}
