package gate

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/gen/configs"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
)

// siteHop is the delay of a request, and of a reply, between two hosts of a configSite.
const siteHop = time.Millisecond

// configSite is a set of entry hosts with a store, in virtual time. The processes of
// its hosts follow the configuration as those of real hosts do.
type configSite struct {
	t       *testing.T
	network *peernet.Network
	table   *standin.Table
	objects *standin.Objects
	hosts   []*siteHost
	names   []string
}

// siteHost is an entry host.
type siteHost struct {
	site *configSite
	name string
	// listed are the names of the other hosts in the membership list that it has.
	listed []string
	// tableDown, objectsDown and unlinked are set while the host can't reach the
	// table, the objects and its peers.
	tableDown, objectsDown, unlinked atomic.Bool
	process                          atomic.Pointer[siteProcess]
	// started is the number of processes that were started.
	started uint64
}

// siteProcess is the process of a host.
type siteProcess struct {
	sync    *configSync
	service *configsService
	dead    atomic.Bool
	stop    func()
}

// newConfigSite starts hosts h0, h1, ... and waits until version 1 is in force on each.
func newConfigSite(t *testing.T, hosts int) *configSite {
	t.Helper()
	s := &configSite{t: t, network: peernet.New(), table: standin.NewTable(), objects: standin.NewObjects()}
	for i := range hosts {
		s.names = append(s.names, fmt.Sprint("h", i))
	}
	for i, name := range s.names {
		listed := slices.Concat(s.names[:i], s.names[i+1:])
		s.hosts = append(s.hosts, &siteHost{site: s, name: name, listed: listed})
	}
	s.network.SetFault(func(from, to string, _ peer.Method) peernet.Fault {
		if s.host(from).isolated() || s.host(to).isolated() {
			return peernet.Unreachable
		}
		return peernet.NoFault
	})
	t.Cleanup(s.close)
	for _, h := range s.hosts {
		h.start()
	}
	<-time.After(configBound)
	if err := s.hosts[0].apply(0); err != nil {
		t.Fatal(err)
	}
	<-time.After(configBound)
	s.wantInForce(1, s.hosts...)
	return s
}

// configBound is the time within which an accepted version must be in force on every
// host, and a host that was replaced must serve.
const configBound = 4 * time.Second

// close kills all processes and waits until their goroutines have ended.
func (s *configSite) close() {
	for _, h := range s.hosts {
		h.kill()
	}
	const requestsEnd = 5 * time.Second
	<-time.After(requestsEnd)
}

// host returns a host by its name.
func (s *configSite) host(name string) *siteHost { return s.hosts[slices.Index(s.names, name)] }

// setStoreDown makes the store unavailable or available to hosts.
func setStoreDown(down bool, hosts ...*siteHost) {
	for _, h := range hosts {
		h.tableDown.Store(down)
		h.objectsDown.Store(down)
	}
}

// wantInForce fails the test unless the hosts have a version in force.
func (s *configSite) wantInForce(version uint64, hosts ...*siteHost) {
	s.t.Helper()
	for _, h := range hosts {
		if v, ok := h.version(); !ok || v != version {
			s.t.Errorf("%s: version %d in force (%v), want %d", h.name, v, ok, version)
		}
	}
}

// wantNotOlder fails the test if a host has an older version in force.
func (s *configSite) wantNotOlder(version uint64, h *siteHost) {
	s.t.Helper()
	if v, ok := h.version(); ok && v < version {
		s.t.Errorf("%s went from version %d to %d", h.name, version, v)
	}
}

// isolated reports whether the host's peers can't reach it.
func (h *siteHost) isolated() bool {
	p := h.process.Load()
	return h.unlinked.Load() || p == nil || p.dead.Load()
}

// version returns the version in force, false before the first.
func (h *siteHost) version() (uint64, bool) { return h.process.Load().sync.watcher.Version() }

// start starts a process, which replaces one that was killed.
func (h *siteHost) start() {
	s := h.site
	ctx, cancel := context.WithCancel(s.t.Context())
	p := &siteProcess{stop: cancel}
	log := slog.New(slog.DiscardHandler)
	store := &configstore.Store{Table: hostTable{h}, Objects: hostObjects{h}, Now: time.Now}
	watcher := configstore.NewWatcher(store, settings.Default(), log)
	port := sitePort{h: h, p: p}
	h.started++
	p.sync = newConfigSync(port, port, watcher, rand.New(rand.NewPCG(h.started, uint64(len(h.name)))))
	p.sync.setHosts(h.listed)
	p.service = &configsService{store: store, watcher: watcher, accept: p.sync.accept, log: log}
	h.process.Store(p)
	go watcher.Run(ctx, settings.Default().Platform.ConfigInterval.D())
	go p.sync.run(ctx)
}

// kill kills the process.
func (h *siteHost) kill() {
	p := h.process.Load()
	p.dead.Store(true)
	p.stop()
}

// replace kills the process and starts another one.
func (h *siteHost) replace() {
	h.kill()
	h.start()
}

// apply applies a change of a version at the host as an operator.
func (h *siteHost) apply(base uint64) error {
	policy := settings.Default()
	policy.Calls.Queue = 300 + int(base)
	content, err := settings.MarshalPolicy(policy)
	if err != nil {
		return err
	}
	_, err = h.process.Load().service.Apply(h.site.t.Context(), &configs.ApplyPayload{Base: int64(base), Author: "operator", Content: content})
	return err
}

// sitePort connects a process with its peers. A process that was killed sends and
// answers nothing.
type sitePort struct {
	h *siteHost
	p *siteProcess
}

// Handle implements peer.Mux.
func (p sitePort) Handle(m peer.Method, handler peer.Handler) {
	p.h.site.network.Port(p.h.name).Handle(m, func(ctx context.Context, from string, decode func(any) error) (any, error) {
		<-time.After(siteHop)
		if p.p.dead.Load() {
			return nil, infra.ErrUnavailable
		}
		answer, err := handler(ctx, from, decode)
		if p.p.dead.Load() {
			return nil, infra.ErrUnavailable
		}
		return answer, err
	})
}

// Call implements peer.Transport.
func (p sitePort) Call(ctx context.Context, host string, m peer.Method, request, reply any) peer.Result {
	if p.p.dead.Load() || p.h.isolated() || p.h.site.host(host).isolated() {
		<-ctx.Done() // nothing answers, not even with a refusal
		return peer.Result{Err: peer.ErrUnreachable}
	}
	r := p.h.site.network.Port(p.h.name).Call(ctx, host, m, request, reply)
	<-time.After(siteHop)
	return r
}

// hostTable is the table as a host sees it.
type hostTable struct{ h *siteHost }

// Commit implements infra.Table.
func (t hostTable) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if t.h.tableDown.Load() {
		return infra.CommitResult{Status: infra.CommitNotApplied}
	}
	return t.h.site.table.Commit(ctx, tx)
}

// Get implements infra.Table.
func (t hostTable) Get(ctx context.Context, keys ...string) ([]infra.Row, error) {
	if t.h.tableDown.Load() {
		return nil, infra.ErrUnavailable
	}
	return t.h.site.table.Get(ctx, keys...)
}

// Scan implements infra.Table.
func (t hostTable) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if t.h.tableDown.Load() {
		return nil, infra.ErrUnavailable
	}
	return t.h.site.table.Scan(ctx, prefix, after, limit)
}

// hostObjects is the object store as a host sees it.
type hostObjects struct{ h *siteHost }

// Put implements infra.Objects.
func (o hostObjects) Put(ctx context.Context, key string, data []byte) error {
	if o.h.objectsDown.Load() {
		return infra.ErrUnavailable
	}
	return o.h.site.objects.Put(ctx, key, data)
}

// Get implements infra.Objects.
func (o hostObjects) Get(ctx context.Context, key string) ([]byte, error) {
	if o.h.objectsDown.Load() {
		return nil, infra.ErrUnavailable
	}
	return o.h.site.objects.Get(ctx, key)
}
