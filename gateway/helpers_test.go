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

const testService = "dispatch"

// fakeOwnership is an OwnershipSource whose snapshot tests replace.
type fakeOwnership struct {
	snapshot atomic.Pointer[ownership.Snapshot]
}

func (s *fakeOwnership) Snapshot() *ownership.Snapshot { return s.snapshot.Load() }

func (s *fakeOwnership) set(share ownership.Share, shards ...string) {
	v := &ownership.Snapshot{Grants: map[string]ownership.Grant{}}
	for _, name := range shards {
		v.Grants[name] = ownership.Grant{Shard: name, Share: share, ShareAfter: share}
	}
	s.snapshot.Store(v)
}

// host is one gateway under test.
type host struct {
	*Gateway
	grants *fakeOwnership
	opt    Options
}

func testCalls() settings.Calls {
	return settings.Default().Calls
}

// newHost returns a gateway that owns no shard. The function edit may change
// its options.
func newHost(t testing.TB, n *peernet.Network, name string, edit func(*Options)) *host {
	t.Helper()
	s := &fakeOwnership{}
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
		Service:     testService,
		Address:     srv.Listener.Addr().String(),
		Zone:        "z1",
		Shard:       name,
		Slots:       slots,
		Connections: 8 * slots,
	}
}

func get(target string) Request {
	return Request{Service: testService, Method: http.MethodGet, Target: target, Deadline: time.Now().Add(5 * time.Second)}
}

func post(body string) Request {
	return Request{Service: testService, Method: http.MethodPost, Target: "/", Body: []byte(body), Deadline: time.Now().Add(5 * time.Second)}
}

// startServer serves a gateway over HTTP as package gate does, and returns its
// URL.
func startServer(t testing.TB, g *Gateway) string {
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

// flushDigests sends the digests that are due and waits for the replies.
func flushDigests(t testing.TB, h *host) {
	t.Helper()
	var sending sync.WaitGroup
	h.sendDigests(t.Context(), &sending)
	sending.Wait()
}
