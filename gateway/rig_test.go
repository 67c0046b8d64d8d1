package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	goahttp "goa.design/goa/v3/http"

	"github.com/fireflygate/fireflygate/gen/calls"
	"github.com/fireflygate/fireflygate/gen/http/calls/server"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/routing"
	"github.com/fireflygate/fireflygate/settings"
)

const svc = "dispatch"

// shares is a View that tests replace.
type shares struct {
	view atomic.Pointer[ownership.View]
}

func (s *shares) View() *ownership.View { return s.view.Load() }

func (s *shares) set(share ownership.Share, shards ...string) {
	v := &ownership.View{Grants: map[string]ownership.Grant{}}
	for _, name := range shards {
		v.Grants[name] = ownership.Grant{Shard: name, Share: share, After: share}
	}
	s.view.Store(v)
}

// network joins gateways in one process, through msgpack as over TCP.
type network struct {
	mu    sync.Mutex
	hosts map[string]map[peer.Method]peer.Handler
	// lose drops the answer of a method after it took effect.
	lose map[peer.Method]bool
}

func newNetwork() *network {
	return &network{hosts: map[string]map[peer.Method]peer.Handler{}, lose: map[peer.Method]bool{}}
}

type link struct {
	n    *network
	from string
}

type hostMux struct {
	n    *network
	name string
}

func (m hostMux) Handle(method peer.Method, h peer.Handler) {
	m.n.mu.Lock()
	defer m.n.mu.Unlock()
	if m.n.hosts[m.name] == nil {
		m.n.hosts[m.name] = map[peer.Method]peer.Handler{}
	}
	m.n.hosts[m.name][method] = h
}

func (l link) Call(ctx context.Context, host string, method peer.Method, request, reply any) peer.Result {
	l.n.mu.Lock()
	h := l.n.hosts[host][method]
	lose := l.n.lose[method]
	l.n.mu.Unlock()
	if h == nil {
		return peer.Result{Kind: outcome.NotRun}
	}
	data, err := msgpack.Marshal(request)
	if err != nil {
		panic(err)
	}
	answer, err := h(ctx, l.from, func(v any) error { return msgpack.Unmarshal(data, v) })
	if err != nil || lose || ctx.Err() != nil {
		return peer.Result{Kind: outcome.Unknown, Err: err}
	}
	back, err := msgpack.Marshal(answer)
	if err != nil {
		panic(err)
	}
	return peer.Result{Kind: outcome.Answered, Err: msgpack.Unmarshal(back, reply)}
}

// host is one gateway under test.
type host struct {
	*Gateway
	shares *shares
	opt    Options
}

func testCalls() settings.Calls {
	return settings.Default().Calls
}

// newHost returns a gateway; change its options with edit.
func newHost(t testing.TB, n *network, name string, edit func(*Options)) *host {
	t.Helper()
	s := &shares{}
	s.set(ownership.None)
	opt := Options{
		Host:   name,
		Zone:   "z1",
		Calls:  testCalls(),
		MaxRun: 2 * time.Second,
		Shares: s,
		Log:    slog.New(slog.DiscardHandler),
		Seed:   1,
	}
	if n != nil {
		opt.Peers = link{n, name}
	}
	if edit != nil {
		edit(&opt)
	}
	g := New(opt)
	if n != nil {
		g.Register(hostMux{n, name})
	}
	return &host{g, s, opt}
}

// endpoint starts a stub endpoint.
func endpoint(t testing.TB, name string, slots int, h http.HandlerFunc) routing.Endpoint {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return routing.Endpoint{
		Name:        name,
		Service:     svc,
		Address:     srv.Listener.Addr().String(),
		Zone:        "z1",
		Shard:       name,
		Slots:       slots,
		Connections: 8 * slots,
	}
}

func get(target string) Request {
	return Request{Service: svc, Method: http.MethodGet, Target: target, Deadline: time.Now().Add(5 * time.Second)}
}

func post(body string) Request {
	return Request{Service: svc, Method: http.MethodPost, Target: "/", Body: []byte(body), Deadline: time.Now().Add(5 * time.Second)}
}

// callers serves a gateway to callers as gate does.
func callers(t testing.TB, g *Gateway) string {
	t.Helper()
	mux := goahttp.NewMuxer()
	s := server.New(calls.NewEndpoints(NewService(g)), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	s.Use(Middleware)
	s.Mount(mux)
	srv := httptest.NewUnstartedServer(nil)
	srv.Listener = LimitCallers(srv.Listener, func() int { return g.opt.Calls.ConnectionsPerCaller })
	srv.Config = NewServer(mux)
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.URL
}

// tellPeers sends the digests that are due and waits for them.
func tellPeers(t testing.TB, h *host) {
	t.Helper()
	var sending sync.WaitGroup
	h.sendDigests(t.Context(), &sending)
	sending.Wait()
}
