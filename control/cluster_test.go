package control_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/control"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// host is an entry host under test.
type host struct {
	name    string
	address string
	node    *control.Node
	kill    context.CancelFunc
}

// cluster is a set of entry hosts that share a table and a fleet.
type cluster struct {
	t            *testing.T
	table        infra.Table
	fleet        *fleet
	hosts        []*host
	incarnations int
	log          *slog.Logger
	// cores is the number of processors of hosts started from now on.
	cores float64
	// ownershipChanged, if set, is the callback of hosts started from now on.
	ownershipChanged func(owner bool)
	// stateBytes is the limit of the state of jobs of hosts started from now on.
	stateBytes int64
	// policy is the policy service of hosts started from now on, nil if there is none.
	policy runner.Policy
	// clients are the worker clients by host name.
	clients map[string]*countingClient
}

// testQueue is the queue of all test jobs.
var testQueue = workload.Queue{
	Name: "q", Pool: "pool", MaxAttempts: 2, Stretch: 2, Target: time.Second,
}

// newCluster starts n hosts with the given number of workers.
func newCluster(t *testing.T, n, workers int) *cluster {
	return newLoggingCluster(t, n, workers, slog.New(slog.DiscardHandler))
}

// newLoggingCluster is newCluster with a logger for the hosts.
func newLoggingCluster(t *testing.T, n, workers int, log *slog.Logger) *cluster {
	c := &cluster{t: t, table: memtable.New(), fleet: newFleet(workers), log: log, clients: map[string]*countingClient{}}
	for i := range n {
		c.start(fmt.Sprintf("h%d", i), c.table)
	}
	return c
}

// start starts a host that uses the given table.
func (c *cluster) start(name string, table infra.Table) *host {
	c.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	c.incarnations++
	var seeds []string
	for _, h := range c.hosts {
		seeds = append(seeds, h.address)
	}
	h := &host{name: name, address: ln.Addr().String()}
	c.clients[name] = &countingClient{Client: c.fleet}
	h.node = control.NewNode(control.Options{
		Host: name, Address: h.address, Incarnation: fmt.Sprintf("%s-%d", name, c.incarnations), Seeds: seeds, Cores: c.cores,
		Table: table, Workers: c.clients[name], Zone: testZone, Members: c.fleet, Log: c.log,
		Metrics:          control.NewMetrics(prometheus.NewRegistry()),
		OwnershipChanged: c.ownershipChanged, Policy: c.policy, StateBytes: c.stateBytes,
		Retention: time.Minute, MaxLease: 10 * time.Second, TailBound: 4 * time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.kill = func() {
		cancel()
		_ = ln.Close()
	}
	c.t.Cleanup(h.kill)
	go func() { _ = h.node.Server().Serve(ctx, ln) }()
	h.node.SetConfig(control.Config{Version: 1, Queues: []workload.Queue{testQueue}})
	go h.node.Run(ctx)
	c.hosts = append(c.hosts, h)
	return h
}

// job returns a job of one step.
func job(id string, tasks int) *workload.Job {
	return &workload.Job{ID: id, Queue: testQueue.Name, Steps: []workload.Step{{
		Tasks: tasks, Needs: infra.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second, DisruptionBudget: -1,
	}}}
}

// requestTimeout bounds one request of a test; it only stops tests that hang.
const requestTimeout = 30 * time.Second

// submit submits a job repeatedly until it is accepted.
func (c *cluster) submit(h *host, j *workload.Job) {
	c.t.Helper()
	c.submitTo(h, testQueue, j)
}

// submitTo is submit for a job of another queue.
func (c *cluster) submitTo(h *host, q workload.Queue, j *workload.Job) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if out := h.node.Submit(ctx, j, q); out.Result == control.ResultDone {
			return
		}
	}
	c.t.Fatalf("job %s wasn't accepted", j.ID)
}

// awaitState waits until a host reports a job in the given state.
func (c *cluster) awaitState(h *host, id string, want workload.State) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	var last control.Outcome
	for ctx.Err() == nil {
		last = h.node.State(ctx, id)
		if last.Result == control.ResultDone && last.State == want {
			return
		}
	}
	c.t.Fatalf("job %s is %v (%v), want %v", id, last.State, last.Result, want)
}

// leader waits until one of the hosts owns the domain and returns it.
func (c *cluster) leader(among ...*host) *host {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, h := range among {
			if h.node.Owns() {
				return h
			}
		}
		pause.For(ctx, time.Millisecond)
	}
	c.t.Fatal("no host owns the domain")
	return nil
}

// eventually waits until a condition holds.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if holds() {
			return
		}
		pause.For(ctx, time.Millisecond)
	}
	c.t.Fatalf("condition not met: %s", what)
}
