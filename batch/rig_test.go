package batch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/journal"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
	"github.com/fireflygate/fireflygate/task"
)

const shard = "wk/zone/0"

// partition separates one host from all others if parted is set. All other
// connections are restored.
func (r *rig) partition(host string, parted bool) {
	r.net.SetFault(func(from, to string, _ peer.Method) peernet.Fault {
		if parted && (from == host || to == host) {
			return peernet.Unreachable
		}
		return peernet.NoFault
	})
}

// node is one entry host.
type node struct {
	*Manager
	planner *firstFit
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// kill stops the host without releasing its shards.
func (n *node) kill() {
	n.stop()
	n.done.Wait()
}

// rig is a small cluster in a synctest bubble.
type rig struct {
	t       *testing.T
	table   *memtable.Table
	workers *fakeWorkers
	net     *peernet.Network
	nodes   []*node
	members []infra.Member
	owner   string
	epoch   uint64
	faults  faults
	// workerClient and newPlanner replace the fakes unless they are nil.
	workerClient infra.Workers
	newPlanner   func() placement.Planner
	// wrapTable wraps the table that journals commit to unless it is nil.
	wrapTable func(infra.Table) infra.Table
	// standIns are the stand-in workers by address, if they are used.
	standIns map[string]*standin.Worker
	// retention is the retention of terminal jobs; 0 for the default.
	retention time.Duration
}

// bubble runs f with a rig in a synctest bubble, and checks the history of runs
// unless f sets faults.
func bubble(t *testing.T, workers int, f func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{t: t, table: memtable.New(), net: peernet.New()}
		var names []string
		for i := range workers {
			name := fmt.Sprint("w", i)
			names = append(names, name)
			r.members = append(r.members, infra.Member{
				Kind: infra.Worker, Name: name, Address: name, Zone: "zone", State: infra.Live,
				Capacity: infra.Resources{MilliCPU: 4000, MemoryMB: 4000},
			})
		}
		r.workers = newFakeWorkers(names...)
		f(r)
		for _, n := range r.nodes {
			n.kill()
		}
		if r.faults == (faults{}) {
			if violation := r.workers.overlap(); violation != "" {
				t.Error(violation)
			}
		}
	})
}

func (r *rig) node(name string) *node {
	ctx, stop := context.WithCancel(context.Background())
	n := &node{planner: newFirstFit(), stop: stop}
	b := settings.Default().Batch
	newPlanner := r.newPlanner
	if newPlanner == nil {
		newPlanner = func() placement.Planner { return n.planner }
	}
	var workerClient infra.Workers = r.workers
	if r.workerClient != nil {
		workerClient = r.workerClient
	}
	var table infra.Table = r.table
	if r.wrapTable != nil {
		table = r.wrapTable(table)
	}
	j := journal.New(journal.Config{Table: table, Incarnation: fmt.Sprint(name, len(r.nodes)), Settings: b})
	n.Manager = New(Config{
		Host: name, Table: r.table, Journal: j, Workers: workerClient,
		Transport: r.net.Port(name), Mux: r.net.Port(name),
		NewPlanner: func(string) placement.Planner { return newPlanner() },
		Settings:   b, TaskLease: settings.Default().Lease.TaskLease.D(), ClockRate: 0.01, Retention: r.retention, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	n.faults = r.faults
	n.SetWorkers(map[string][]infra.Member{shard: r.members})
	n.done.Go(func() { j.Run(ctx) })
	n.done.Go(func() { n.Run(ctx) })
	r.nodes = append(r.nodes, n)
	return n
}

// own makes the host the shard's owner in the table and notifies it.
func (r *rig) own(n *node) {
	r.epoch++
	version := r.table.Put(shardKey(shard), []byte(n.config.Host))
	r.owner = n.config.Host
	g := ownership.Grant{Shard: shard, Epoch: r.epoch, Version: version, Share: ownership.Full, Until: time.Now().Add(time.Hour)}
	r.setOwnership(n, g)
}

// setOwnership passes the shard's owner and the given grants to a host.
func (r *rig) setOwnership(n *node, grants ...ownership.Grant) {
	v := &ownership.Snapshot{Owners: map[string]string{shard: r.owner}, Grants: map[string]ownership.Grant{}}
	for _, g := range grants {
		v.Grants[g.Shard] = g
	}
	n.SetOwnership(v)
	r.advanceTime(0)
}

// advanceTime advances the virtual clock by d and waits until all goroutines
// are idle.
func (r *rig) advanceTime(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
	synctest.Wait()
}

// spec returns the spec of a job of one core and 1000 MB.
func spec(id string, run time.Duration) task.Spec {
	return task.Spec{
		ID: id, Key: "key-" + id, Team: "team", Class: "class",
		Resources: infra.Resources{MilliCPU: 1000, MemoryMB: 1000}, RunMS: run.Milliseconds(),
	}
}

// submit submits a job and fails the test unless it is accepted.
func (r *rig) submit(n *node, s task.Spec) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, kind, reason := n.Submit(ctx, s); kind != outcome.Answered {
		r.t.Fatalf("submit %s: %v %s", s.ID, kind, reason)
	}
}

// expectState checks a job's state and returns its record.
func (r *rig) expectState(n *node, id string, want task.State) task.Record {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s, kind, reason := n.Show(ctx, id)
	if kind != outcome.Answered || s.State != want {
		r.t.Errorf("%s is %v (%v %s), want %v", id, s.State, kind, reason, want)
	}
	return s.Record
}
