package gate

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/gen/configs"
	"github.com/fireflygate/fireflygate/settings"
)

// siteHop is the delay of a request, and of a reply, between two hosts of a configSite.
const siteHop = time.Millisecond

// siteHost is an entry host.
type siteHost struct {
	site *configSite
	name string
	// listed are the names of the other hosts in the membership list that it has.
	listed atomic.Pointer[[]string]
	// tableDown, objectsDown and unlinked are set while the host can't reach the
	// table, the objects and its peers.
	tableDown, objectsDown, unlinked atomic.Bool
	// cut has the names of the hosts that requests of this one don't reach.
	cut sync.Map
	// hop is the delay of its requests and replies, siteHop if 0.
	hop atomic.Int64
	// losing is set while every third answer to it is lost; requests counts them.
	losing   atomic.Bool
	requests atomic.Int64
	process  atomic.Pointer[siteProcess]
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

// setStoreDown makes the store unavailable or available to hosts.
func setStoreDown(down bool, hosts ...*siteHost) {
	for _, h := range hosts {
		h.tableDown.Store(down)
		h.objectsDown.Store(down)
	}
}

// isolated reports whether the host's peers can't reach it.
func (h *siteHost) isolated() bool {
	p := h.process.Load()
	return h.unlinked.Load() || p == nil || p.dead.Load()
}

// list gives the host a membership list with the names of other hosts.
func (h *siteHost) list(names []string) {
	h.listed.Store(&names)
	if p := h.process.Load(); p != nil {
		p.sync.setHosts(names)
	}
}

// lists reports whether the host's membership list has another one.
func (h *siteHost) lists(name string) bool { return slices.Contains(*h.listed.Load(), name) }

// reaches reports whether requests of the host reach another one.
func (h *siteHost) reaches(other *siteHost) bool {
	_, cut := h.cut.Load(other.name)
	return !cut && !h.isolated() && !other.isolated()
}

// setCut cuts or restores the way from the host to another one.
func (h *siteHost) setCut(to *siteHost, cut bool) {
	if cut {
		h.cut.Store(to.name, true)
	} else {
		h.cut.Delete(to.name)
	}
}

// setLinked links a host with others in both directions, or cuts it off from them.
func setLinked(linked bool, h *siteHost, others ...*siteHost) {
	for _, other := range others {
		h.setCut(other, !linked)
		other.setCut(h, !linked)
	}
}

// wait waits for the delay of a request or a reply.
func (h *siteHost) wait() {
	hop := time.Duration(h.hop.Load())
	<-time.After(max(hop, siteHop) + h.site.apart())
}

// waitForEnd waits until a request that nobody answers has ended.
func (h *siteHost) waitForEnd(ctx context.Context) {
	<-ctx.Done()
	<-time.After(h.site.apart())
}

// loses reports whether the next answer to the host is lost.
func (h *siteHost) loses() bool { return h.losing.Load() && h.requests.Add(1)%3 == 0 }

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
	p.sync.setHosts(*h.listed.Load())
	p.service = &configsService{store: store, watcher: watcher, accept: p.sync.accept, hasZone: func(string) bool { return true }, log: log}
	h.process.Store(p)
	watcher.Subscribe(func(c configstore.Current) {
		if s.onApplied != nil && !p.dead.Load() {
			s.onApplied(h, c.Head.Version)
		}
	})
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
	<-time.After(h.site.apart())
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
