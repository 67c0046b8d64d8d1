package gateway

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/fireflygate/fireflygate/gen/calls"
	"github.com/fireflygate/fireflygate/gen/http/calls/server"
	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/routing"
	"github.com/fireflygate/fireflygate/settings"
)

const svc = "dispatch"

// shares is a View that tests replace.
type shares struct {
	view atomic.Pointer[ownership.Snapshot]
}

func (s *shares) Snapshot() *ownership.Snapshot { return s.view.Load() }

func (s *shares) set(share ownership.Share, shards ...string) {
	v := &ownership.Snapshot{Grants: map[string]ownership.Grant{}}
	for _, name := range shards {
		v.Grants[name] = ownership.Grant{Shard: name, Share: share, ShareAfter: share}
	}
	s.view.Store(v)
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
func newHost(t testing.TB, n *peernet.Network, name string, edit func(*Options)) *host {
	t.Helper()
	s := &shares{}
	s.set(ownership.None)
	opt := Options{
		Host:      name,
		Zone:      "z1",
		Calls:     testCalls(),
		MaxRun:    2 * time.Second,
		Ownership: s,
		Log:       slog.New(slog.DiscardHandler),
		Seed:      1,
	}
	if n != nil {
		opt.Peers = n.Port(name)
	}
	if edit != nil {
		edit(&opt)
	}
	g := New(opt)
	if n != nil {
		g.Register(n.Port(name))
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
	srv.Listener = LimitConnections(srv.Listener, func() int { return g.opt.Calls.ConnectionsPerCaller })
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
