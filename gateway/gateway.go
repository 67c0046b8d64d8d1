package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflygate/fireflygate/internal/processpause"
	"github.com/fireflygate/fireflygate/routing"
	"github.com/fireflygate/fireflygate/settings"
)

// Gateway serves interactive requests. It is safe for concurrent use.
type Gateway struct {
	opt     Options
	metrics *metrics
	// settings are the current limits on requests.
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
	// unservedServices holds the services that no known host can serve.
	unservedServices map[string]*unservedState
	// pauses detects pauses of this process.
	pauses processpause.Detector
	// active counts requests in progress, including forwarded ones.
	active int
	// stateChanged is closed and replaced whenever a slot is freed or a
	// request ends. Drain and Stop wait for it.
	stateChanged chan struct{}

	// background tracks goroutines and timers of exchanges that outlive their
	// caller.
	background sync.WaitGroup
	digests    digestSender
}

// New returns a gateway without endpoints.
func New(opt Options) *Gateway {
	if opt.Dial == nil {
		opt.Dial = dialEndpoint
	}
	g := &Gateway{
		opt:          opt,
		metrics:      newMetrics(opt.Registerer),
		rng:          rand.New(rand.NewPCG(opt.Seed, 0)),
		pool:         routing.NewPool(routing.DefaultConfig(opt.Zone)),
		peers:        routing.NewPeers(opt.Zone),
		budget:       routing.NewRetryBudget(opt.Calls.RetryBudget),
		queues:       map[string]*routing.Queue{},
		clients:      map[string]*endpointClient{},
		services:     map[string]bool{},
		stateChanged: make(chan struct{}),

		unservedServices: map[string]*unservedState{},
	}
	g.settings.Store(&opt.Calls)
	g.metrics.registerGauges(g)
	return g
}

// callSettings returns the current limits on requests.
func (g *Gateway) callSettings() *settings.Calls { return g.settings.Load() }

// SetCalls replaces the limits on requests. They apply to new requests.
func (g *Gateway) SetCalls(c settings.Calls) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settings.Store(&c)
	g.budget.SetRatio(c.RetryBudget)
	for _, q := range g.queues {
		q.SetLimit(c.Queue)
	}
}

// SetEndpoints replaces the list of endpoints of all shards and services. The
// grants determine which of them this host may use.
func (g *Gateway) SetEndpoints(endpoints []routing.Endpoint) {
	endpoints = g.withServiceDefaults(endpoints)
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

// withServiceDefaults returns the endpoints with slots and connections taken
// from the service's settings where the membership list gives none.
func (g *Gateway) withServiceDefaults(endpoints []routing.Endpoint) []routing.Endpoint {
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
	g.clients[e.Name] = newEndpointClient(e, g.opt.Dial)
}

// SetPeers replaces the list of other entry hosts, which receive digests and
// forwarded requests.
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

// notifyWaiters wakes calls of Drain and Stop. g.mu must be held.
func (g *Gateway) notifyWaiters() {
	close(g.stateChanged)
	g.stateChanged = make(chan struct{})
}

// queue returns the queue of a service and creates it if needed. g.mu must be
// held.
func (g *Gateway) queue(service string) *routing.Queue {
	q := g.queues[service]
	if q == nil {
		q = routing.NewQueue(g.callSettings().Queue)
		g.queues[service] = q
	}
	return q
}
