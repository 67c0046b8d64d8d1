package control_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/control"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/workload"
)

// without returns the hosts except one.
func without(hosts []*host, excluded *host) []*host {
	var others []*host
	for _, h := range hosts {
		if h != excluded {
			others = append(others, h)
		}
	}
	return others
}

// TestAnyHostServesJobs submits each job at two hosts and queries it at the
// third: it must run once.
func TestAnyHostServesJobs(t *testing.T) {
	c := newCluster(t, 3, 2)
	for i, h := range c.hosts {
		id := fmt.Sprintf("job%d", i)
		c.submit(h, job(id, 3))
		c.submit(c.hosts[(i+1)%3], job(id, 3)) // duplicate submission at another host
		for range 3 {
			c.fleet.finish((<-c.fleet.started).Task)
		}
		c.awaitState(c.hosts[(i+2)%3], id, workload.Complete)
	}
	select {
	case o := <-c.fleet.started:
		t.Errorf("started again: %v", o.Task)
	default:
	}
}

// TestOwnerCrash checks that running tasks survive a takeover and aren't
// started again.
func TestOwnerCrash(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.submit(c.hosts[0], job("job", 4))
	var tasks []workload.TaskID
	for range 4 {
		tasks = append(tasks, (<-c.fleet.started).Task)
	}
	old := c.leader(c.hosts...)
	old.kill()
	others := without(c.hosts, old)
	c.leader(others...)
	c.awaitState(others[0], "job", workload.InProgress)
	for _, id := range tasks {
		c.fleet.finish(id)
	}
	for _, h := range others {
		c.awaitState(h, "job", workload.Complete)
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if len(c.fleet.duplicates) > 0 || len(c.fleet.started) > 0 {
		t.Errorf("started while running: %v; %d tasks started again", c.fleet.duplicates, len(c.fleet.started))
	}
}

// TestOwnerResigns checks that another host owns the domain after a planned
// stop.
func TestOwnerResigns(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.submit(c.hosts[0], job("job", 1))
	task := (<-c.fleet.started).Task
	old := c.leader(c.hosts...)
	old.node.Resign(context.Background())
	if old.node.Owns() {
		t.Error("still the owner after resigning")
	}
	next := c.leader(without(c.hosts, old)...)
	c.fleet.finish(task)
	c.awaitState(next, "job", workload.Complete)
	c.awaitState(old, "job", workload.Complete) // forwarded while the host drains
}

// TestCancelAtNonOwner checks cancellation at a host that isn't the owner.
func TestCancelAtNonOwner(t *testing.T) {
	c := newCluster(t, 2, 1)
	other := without(c.hosts, c.leader(c.hosts...))[0]
	c.submit(other, job("job", 1))
	<-c.fleet.started
	out := other.node.Cancel(context.Background(), "job")
	if out.Result != control.ResultDone {
		t.Fatalf("cancel: %v, want done", out.Result)
	}
	c.awaitState(c.hosts[0], "job", workload.Cancelled)
	if out := other.node.Cancel(context.Background(), "none"); out.Result != control.ResultNotFound {
		t.Errorf("cancel of an unknown job: %v, want not found", out.Result)
	}
}

// refusingTable is a table that refuses all calls while on is set.
type refusingTable struct {
	infra.Table
	on atomic.Bool
}

// Commit implements infra.Table.
func (r *refusingTable) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if r.on.Load() {
		return infra.CommitResult{Status: infra.CommitNotApplied}
	}
	return r.Table.Commit(ctx, tx)
}

// Get implements infra.Table.
func (r *refusingTable) Get(ctx context.Context, keys ...string) ([]infra.Row, error) {
	if r.on.Load() {
		return nil, infra.ErrUnavailable
	}
	return r.Table.Get(ctx, keys...)
}

// TestOwnerRejectedByStore checks that an owner without access to the store is
// replaced, and still forwards requests although it can't read the owner's row.
func TestOwnerRejectedByStore(t *testing.T) {
	c := newCluster(t, 0, 1)
	table := &refusingTable{Table: c.table}
	first := c.start("first", table)
	c.leader(first)
	second := c.start("second", c.table)
	c.submit(second, job("before", 1)) // lets the hosts learn of each other
	table.on.Store(true)
	c.leader(second)
	c.submit(first, job("after", 1))
	if first.node.Owns() {
		t.Error("the deposed host still considers itself the owner")
	}
}

// TestStaleStartIsNotSent checks that a start queued too long behind one
// without an answer isn't sent, and that its task is placed again.
func TestStaleStartIsNotSent(t *testing.T) {
	c := newCluster(t, 1, 1)
	release := make(chan struct{})
	c.fleet.mu.Lock()
	c.fleet.hang["w0"] = release
	c.fleet.mu.Unlock()
	c.submit(c.hosts[0], job("job", 2))
	<-c.fleet.hanging
	// The first start times out without an answer; the second has then been queued
	// for longer than allowed.
	c.fleet.mu.Lock()
	c.fleet.hang = map[string]chan struct{}{}
	c.fleet.mu.Unlock()
	first, second := <-c.fleet.started, <-c.fleet.started
	runs := map[uint64]bool{first.Run: true, second.Run: true}
	if first.Task == second.Task || len(runs) != 2 {
		t.Errorf("started %v and %v, want each task once", first.Task, second.Task)
	}
	lastStaleRun := uint64(1)<<24 + 2 // run number of the second of the initial starts
	if first.Run <= lastStaleRun || second.Run <= lastStaleRun {
		t.Errorf("run numbers are %d and %d, want both above %d", first.Run, second.Run, lastStaleRun)
	}
	close(release)
}

// hangingTable is a table whose commits hang while on is set.
type hangingTable struct {
	infra.Table
	on atomic.Bool
}

// Commit implements infra.Table.
func (s *hangingTable) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if s.on.Load() {
		<-ctx.Done()
		return infra.CommitResult{Status: infra.CommitUnknown}
	}
	return s.Table.Commit(ctx, tx)
}

// TestStoreUnavailableRejectsJobs checks that a job refused while the store is
// unavailable never runs, and is accepted when submitted again later.
func TestStoreUnavailableRejectsJobs(t *testing.T) {
	c := newCluster(t, 0, 1)
	table := &hangingTable{Table: c.table}
	h := c.start("host", table)
	c.submit(h, job("before", 1))
	<-c.fleet.started
	table.on.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	refused := ""
	for i := 0; refused == "" && ctx.Err() == nil; i++ {
		id := fmt.Sprintf("job%d", i)
		attempt, done := context.WithTimeout(ctx, 200*time.Millisecond)
		out := h.node.Submit(attempt, job(id, 1), testQueue)
		done()
		if out.Result == control.ResultRefused {
			refused = id
			if out.RetryAfter < time.Second {
				t.Errorf("retry after %v, want a second or more", out.RetryAfter)
			}
		}
	}
	table.on.Store(false)
	c.submit(h, job("after", 1)) // everything submitted earlier is committed now
	if out := h.node.State(ctx, refused); out.Result != control.ResultNotFound {
		t.Errorf("state of the refused job: %v, want not found", out.Result)
	}
	c.submit(h, job(refused, 1))
}
