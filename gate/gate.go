package gate

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/fireflygate/fireflygate/access"
	"github.com/fireflygate/fireflygate/batch"
	"github.com/fireflygate/fireflygate/booking"
	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/gateway"
	"github.com/fireflygate/fireflygate/ingress"
	"github.com/fireflygate/fireflygate/journal"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownerdriver"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/roster"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/slo"
)

// Gate is one entry host.
type Gate struct {
	local       settings.Settings
	deps        Deps
	incarnation string
	registry    *prometheus.Registry
	identity    *access.Identity
	guard       *access.Guard

	state  atomic.Int32
	roster atomic.Pointer[roster.Roster]
	// closedZones are the closed availability zones, nil before the first configuration.
	closedZones atomic.Pointer[[]string]
	ownershipMu sync.Mutex // serializes updateOwnership
	// applied is accessed only by the goroutine that polls the membership list.
	applied appliedMembership
	// drainRequested is closed, by drainOnce, when a drain is requested.
	drainRequested chan struct{}
	drainOnce      sync.Once

	callersBudget   *ingress.Budget
	operatorsBudget *ingress.Budget
	peers           *peer.Client
	peerServer      *peer.Server
	journal         *journal.Journal
	ownershipDriver *ownerdriver.Driver
	gateway         *gateway.Gateway
	bookings        *booking.Registry
	batch           *batch.Manager
	slo             *slo.Tracker
	store           *configstore.Store
	watcher         *configstore.Watcher
	configSync      *configSync
}

// peerUserTimeout is how long data sent to a peer may stay unacknowledged
// before its connection is closed.
const peerUserTimeout = 2 * time.Second

// digestFanOut is how many peers receive each digest of free slots. It is
// bounded so that messages don't grow with the square of the number of hosts.
const digestFanOut = 8

// New returns an entry host with its process settings; Run starts it.
func New(local settings.Settings, deps Deps) (*Gate, error) {
	g := &Gate{
		local:          local,
		deps:           deps,
		incarnation:    uuid.NewString(),
		registry:       prometheus.NewRegistry(),
		drainRequested: make(chan struct{}),
	}
	g.roster.Store(&roster.Roster{})
	g.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err := g.buildAccess(); err != nil {
		return nil, err
	}
	g.buildBudgets()
	g.buildPeers()
	g.store = &configstore.Store{Table: deps.Table, Objects: deps.Objects, Now: time.Now}
	g.watcher = configstore.NewWatcher(g.store, local, deps.Log)
	g.configSync = newConfigSync(g.peers, g.peerServer, g.watcher, g.rng())
	g.journal = journal.New(journal.Config{
		Table: deps.Table, Incarnation: g.incarnation, Settings: local.Batch,
		Timeout: local.Platform.Timeout.D(), Log: deps.Log, Now: deps.Now, Registerer: g.registry,
	})
	g.slo = slo.NewTracker(local.Host.Name+"#"+g.incarnation, deps.Table, g.journal, g.registry, deps.Log, time.Now)
	g.buildOwnership()
	g.buildGateway()
	g.buildBatch()
	g.registerMetrics()
	return g, nil
}

// rng returns a randomly seeded generator.
func (g *Gate) rng() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (g *Gate) buildAccess() error {
	var err error
	if g.local.Host.Secret != "" {
		if g.guard, err = access.NewGuard(g.local.Host.Secret, g.deps.Now); err != nil {
			return err
		}
	}
	if t := g.local.Host.TLS; t.Certificate != "" {
		g.identity, err = access.NewIdentity(t.Certificate, t.Key, t.Authorities, g.deps.Now)
	}
	return err
}

func (g *Gate) buildPeers() {
	o := peer.Options{Host: g.local.Host.Name, UserTimeout: peerUserTimeout, Log: g.deps.Log}
	client, server := o, o
	if g.identity != nil {
		client.TLS = g.identity.ClientConfig
		server.TLS = func() (*tls.Config, error) { return g.identity.ServerConfig(true), nil }
	}
	g.peers = peer.NewClient(client, g.rng())
	g.peerServer = peer.NewServer(server, g.admitPeer)
}

// admitPeer reports whether the membership list has an entry host of this name
// with this IP address.
func (g *Gate) admitPeer(name string, remote netip.Addr) bool {
	m, ok := g.roster.Load().Member(name)
	if !ok || !g.roster.Load().Listed(name) {
		return false
	}
	address, err := netip.ParseAddrPort(m.Address)
	return err == nil && address.Addr().Unmap() == remote.Unmap()
}

func (g *Gate) buildOwnership() {
	g.ownershipDriver = ownerdriver.New(ownerdriver.Config{
		Host: g.local.Host.Name, Incarnation: g.incarnation,
		Table: g.deps.Table, Transport: g.peers, Mux: g.peerServer,
		Lease: g.local.Lease, Log: g.deps.Log, Now: g.deps.Now,
		Drain: g.drainShard,
	})
}

func (g *Gate) buildGateway() {
	g.bookings = booking.New(booking.Options{
		Host: g.local.Host.Name, Incarnation: g.incarnation,
		Committer: g.journal, Reader: g.deps.Table, Objects: g.deps.Objects, Peers: g.peers,
		Alive:  g.ownershipDriver.Alive,
		Window: func() time.Duration { return g.watcher.Calls().BookingWindow.D() }, Now: time.Now, Log: g.deps.Log,
	})
	g.bookings.Register(g.peerServer)
	g.gateway = gateway.New(gateway.Options{
		Host: g.local.Host.Name, Zone: g.local.Host.Zone, Calls: g.local.Calls, MaxRun: g.local.Lease.MaxRun.D(),
		Service: g.watcher.Service, Ownership: g.ownershipDriver, TableAvailable: g.ownershipDriver.StoreOK, Peers: g.peers, DigestFanOut: digestFanOut, Bookings: g.bookings,
		Observe: g.observeCall, Registerer: g.registry, Log: g.deps.Log, Seed: rand.Uint64(),
	})
	g.gateway.Register(g.peerServer)
}

func (g *Gate) buildBatch() {
	g.batch = batch.New(batch.Config{
		Host: g.local.Host.Name, Table: g.deps.Table, Journal: g.journal, Workers: g.deps.Workers,
		Transport: g.peers, Mux: g.peerServer, NewPlanner: g.newPlanner,
		Settings: g.local.Batch, TaskLease: g.local.Lease.TaskLease.D(), ClockRate: g.local.Lease.ClockRate, Timeout: g.local.Platform.Timeout.D(),
		Log: g.deps.Log, Now: g.deps.Now, Rand: g.rng(), Registerer: g.registry,
	})
	g.batch.SetPolicy(g.local.Batch, plannerOptions(g.local))
}

// newPlanner returns an empty planner with the policy in force.
func (g *Gate) newPlanner(string) placement.Planner {
	o := plannerOptions(g.policy())
	o.Seed = rand.Uint64()
	return placement.New(o)
}

// plannerOptions returns the planner options for a policy.
func plannerOptions(p settings.Settings) placement.Options {
	return placement.Options{
		Headroom: p.Batch.Headroom, Teams: p.Teams, Events: p.Events,
		Colocation: p.Colocation, ObjectivesMS: classObjectives(p.Classes),
	}
}

// classObjectives returns the tail latency objective of each class in
// milliseconds.
func classObjectives(classes map[string]settings.Class) map[string]float64 {
	out := make(map[string]float64, len(classes))
	for name, c := range classes {
		out[name] = float64(c.Latency.D()) / float64(time.Millisecond)
	}
	return out
}

// policy returns a copy of the settings in force.
func (g *Gate) policy() settings.Settings {
	current, ok := g.watcher.Current()
	if !ok {
		return g.local.Clone()
	}
	return current.Settings
}

// observeCall counts a finished call for the service-level objectives. Only
// answered calls can meet them.
func (g *Gate) observeCall(service string, took time.Duration, kind outcome.Kind) {
	g.slo.Observe(service, took, kind == outcome.Answered)
}

// drainShard stops a shard for a handover and waits until none of its requests
// is in flight.
func (g *Gate) drainShard(ctx context.Context, shard string) error {
	if isWorkerShard(shard) {
		return g.batch.Release(ctx, shard)
	}
	return g.gateway.Drain(ctx, shard)
}

// State returns the host's lifecycle state.
func (g *Gate) State() State { return State(g.state.Load()) }
