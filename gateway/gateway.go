package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflygate/fireflygate/internal/standstill"
	"github.com/fireflygate/fireflygate/routing"
	"github.com/fireflygate/fireflygate/settings"
)

// Gateway serves interactive requests. It is safe for concurrent use.
type Gateway struct {
	opt     Options
	metrics *metrics
	// settings are the newest bounds of requests.
	settings atomic.Pointer[settings.Calls]

	mu       sync.Mutex
	rng      *rand.Rand
	pool     *routing.Pool
	peers    *routing.Peers
	budget   *routing.RetryBudget
	queues   map[string]*routing.Queue
	clients  map[string]*endpointClient
	services map[string]bool
	hosts    []PeerHost
	stopping bool
	// unservedSince holds the services that nobody can serve.
	unservedSince map[string]*unserved
	// stood knows when this process stood still.
	stood standstill.Detector
	// active counts requests of callers that have not ended.
	active int
	// changed is closed and replaced whenever a slot is freed or a request
	// ends, for those who wait for a drain.
	changed chan struct{}

	// background counts requests that still run at an endpoint.
	background sync.WaitGroup
	digests    digestSender
}

// New returns a gateway without endpoints.
func New(opt Options) *Gateway {
	g := &Gateway{
		opt:      opt,
		metrics:  newMetrics(opt.Registerer),
		rng:      rand.New(rand.NewPCG(opt.Seed, 0)),
		pool:     routing.NewPool(routing.DefaultConfig(opt.Zone)),
		peers:    routing.NewPeers(opt.Zone),
		budget:   routing.NewRetryBudget(opt.Calls.RetryBudget),
		queues:   map[string]*routing.Queue{},
		clients:  map[string]*endpointClient{},
		services: map[string]bool{},
		changed:  make(chan struct{}),

		unservedSince: map[string]*unserved{},
	}
	g.settings.Store(&opt.Calls)
	g.metrics.watch(g)
	return g
}

// calls returns the bounds of requests now in force.
func (g *Gateway) calls() *settings.Calls { return g.settings.Load() }

// SetCalls brings other bounds into force, for the requests that come next.
func (g *Gateway) SetCalls(c settings.Calls) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settings.Store(&c)
	g.budget.SetRatio(c.RetryBudget)
	for _, q := range g.queues {
		q.SetLimit(c.Queue)
	}
}

// SetEndpoints replaces the list of endpoints, of all shards and services:
// which of them this host may use is up to the grants.
func (g *Gateway) SetEndpoints(endpoints []routing.Endpoint) {
	endpoints = g.sized(endpoints)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.SetEndpoints(time.Now(), endpoints)
	clear(g.services)
	keep := map[string]bool{}
	for _, e := range endpoints {
		g.services[e.Service] = true
		keep[e.Name] = true
		g.setClient(e)
	}
	for name, c := range g.clients {
		if !keep[name] {
			c.transport.CloseIdleConnections()
			delete(g.clients, name)
		}
	}
	g.serveQueues()
}

// sized returns the endpoints with the service's sizes where the membership
// list gives none.
func (g *Gateway) sized(endpoints []routing.Endpoint) []routing.Endpoint {
	if g.opt.Service == nil {
		return endpoints
	}
	out := slices.Clone(endpoints)
	for i, e := range out {
		s := g.opt.Service(e.Service)
		out[i].Slots = cmp.Or(e.Slots, s.Slots)
		out[i].Connections = cmp.Or(e.Connections, s.Connections)
	}
	return out
}

func (g *Gateway) setClient(e routing.Endpoint) {
	old := g.clients[e.Name]
	if old != nil && old.address == e.Address && old.transport.MaxConnsPerHost == e.OwnerConnections() {
		return
	}
	if old != nil {
		old.transport.CloseIdleConnections()
	}
	g.clients[e.Name] = newEndpointClient(e)
}

// SetPeers replaces the list of other entry hosts, to which digests go and
// requests may be forwarded.
func (g *Gateway) SetPeers(hosts []PeerHost) {
	g.mu.Lock()
	defer g.mu.Unlock()
	keep := map[string]bool{}
	for _, h := range hosts {
		keep[h.Name] = true
	}
	for _, h := range g.hosts {
		if !keep[h.Name] {
			g.peers.Remove(h.Name)
		}
	}
	g.hosts = hosts
}

// notify wakes those who wait for a drain. It needs the lock.
func (g *Gateway) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// queue returns the queue of a service. It needs the lock.
func (g *Gateway) queue(service string) *routing.Queue {
	q := g.queues[service]
	if q == nil {
		q = routing.NewQueue(g.calls().Queue)
		g.queues[service] = q
	}
	return q
}
