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

// without returns the hosts but one.
func without(hosts []*host, gone *host) []*host {
	var rest []*host
	for _, h := range hosts {
		if h != gone {
			rest = append(rest, h)
		}
	}
	return rest
}

// TestOnePath hands a job in at each host and sees it to its end at another.
func TestOnePath(t *testing.T) {
	c := newCluster(t, 3, 2)
	for i, h := range c.hosts {
		id := fmt.Sprintf("job%d", i)
		c.submit(h, job(id, 3))
		c.submit(c.hosts[(i+1)%3], job(id, 3)) // the same job again, elsewhere
		for range 3 {
			c.fleet.finish((<-c.fleet.started).Task)
		}
		c.await(c.hosts[(i+2)%3], id, workload.Complete)
	}
	select {
	case o := <-c.fleet.started:
		t.Errorf("started once more: %v", o.Task)
	default:
	}
}

// TestOwnerDies kills the owner with tasks at work: another takes over, the
// tasks go on where they are, and nothing runs twice.
func TestOwnerDies(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.submit(c.hosts[0], job("job", 4))
	var tasks []workload.TaskID
	for range 4 {
		tasks = append(tasks, (<-c.fleet.started).Task)
	}
	old := c.leader(c.hosts...)
	old.kill()
	rest := without(c.hosts, old)
	c.leader(rest...)
	c.await(rest[0], "job", workload.InProgress)
	for _, id := range tasks {
		c.fleet.finish(id)
	}
	for _, h := range rest {
		c.await(h, "job", workload.Complete)
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if len(c.fleet.twice) > 0 || len(c.fleet.started) > 0 {
		t.Errorf("started while at work: %v; started again: %d", c.fleet.twice, len(c.fleet.started))
	}
}

// TestOwnerResigns hands the domain over at a planned stop.
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
	c.await(next, "job", workload.Complete)
	c.await(old, "job", workload.Complete) // forwards, while it drains
}

// TestCancelledJobStartsNothing cancels at a host that isn't the owner.
func TestCancelledJobStartsNothing(t *testing.T) {
	c := newCluster(t, 2, 1)
	other := without(c.hosts, c.leader(c.hosts...))[0]
	c.submit(other, job("job", 1))
	<-c.fleet.started
	out := other.node.Cancel(context.Background(), "job")
	if out.Result != control.ResultDone {
		t.Fatalf("cancelling: %v", out.Result)
	}
	c.await(c.hosts[0], "job", workload.Cancelled)
	if out := other.node.Cancel(context.Background(), "none"); out.Result != control.ResultNotFound {
		t.Errorf("cancelling a job that isn't there: %v, want not found", out.Result)
	}
}

// refusing is a table that can be made to turn its caller away.
type refusing struct {
	infra.Table
	on atomic.Bool
}

// Commit implements infra.Table.
func (r *refusing) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if r.on.Load() {
		return infra.CommitResult{Status: infra.CommitNotApplied}
	}
	return r.Table.Commit(ctx, tx)
}

// Get implements infra.Table.
func (r *refusing) Get(ctx context.Context, keys ...string) ([]infra.Row, error) {
	if r.on.Load() {
		return nil, infra.ErrUnavailable
	}
	return r.Table.Get(ctx, keys...)
}

// TestOwnerTurnedAwayByStore replaces an owner that the store turns away and
// leaves it a forwarder that serves callers, although it can't read who owns
// the domain now.
func TestOwnerTurnedAwayByStore(t *testing.T) {
	c := newCluster(t, 0, 1)
	table := &refusing{Table: c.table}
	first := c.start("first", table)
	c.leader(first)
	second := c.start("second", c.table)
	c.submit(second, job("before", 1)) // the hosts have met
	table.on.Store(true)
	c.leader(second)
	c.submit(first, job("after", 1))
	if first.node.Owns() {
		t.Error("the deposed host still counts itself as owner")
	}
}

// TestStaleStartIsNotSent has a start wait behind one that hangs: when its
// turn comes it is too old, and the task is placed anew.
func TestStaleStartIsNotSent(t *testing.T) {
	c := newCluster(t, 1, 1)
	release := make(chan struct{})
	c.fleet.mu.Lock()
	c.fleet.hang["w0"] = release
	c.fleet.mu.Unlock()
	c.submit(c.hosts[0], job("job", 2))
	<-c.fleet.hanging
	// The first start ends without an answer after the limit of an order; the
	// second has then waited for longer than it may.
	c.fleet.mu.Lock()
	c.fleet.hang = map[string]chan struct{}{}
	c.fleet.mu.Unlock()
	first, second := <-c.fleet.started, <-c.fleet.started
	runs := map[uint64]bool{first.Run: true, second.Run: true}
	if first.Task == second.Task || len(runs) != 2 {
		t.Errorf("started %v and %v, want both tasks once", first.Task, second.Task)
	}
	low := uint64(1)<<24 + 2 // the runs of the two starts that were given first
	if first.Run <= low || second.Run <= low {
		t.Errorf("runs %d and %d, want both placed anew after %d", first.Run, second.Run, low)
	}
	close(release)
}

// silent is a table whose commits can be made to hang without an answer.
type silent struct {
	infra.Table
	on atomic.Bool
}

// Commit implements infra.Table.
func (s *silent) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if s.on.Load() {
		<-ctx.Done()
		return infra.CommitResult{Status: infra.CommitUnknown}
	}
	return s.Table.Commit(ctx, tx)
}

// TestStoreAwayRefusesAtOnce refuses a job while the store is away, and never
// runs it; the same job is accepted once the store is back.
func TestStoreAwayRefusesAtOnce(t *testing.T) {
	c := newCluster(t, 0, 1)
	table := &silent{Table: c.table}
	h := c.start("host", table)
	c.submit(h, job("before", 1))
	<-c.fleet.started
	table.on.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	refused := ""
	for i := 0; refused == "" && ctx.Err() == nil; i++ {
		id := fmt.Sprintf("job%d", i)
		try, done := context.WithTimeout(ctx, 200*time.Millisecond)
		out := h.node.Submit(try, job(id, 1), testQueue)
		done()
		if out.Result == control.ResultRefused {
			refused = id
			if out.RetryAfter < time.Second {
				t.Errorf("come back after %v, want a second or more", out.RetryAfter)
			}
		}
	}
	table.on.Store(false)
	c.submit(h, job("after", 1)) // everything before it is settled now
	if out := h.node.State(ctx, refused); out.Result != control.ResultNotFound {
		t.Errorf("the refused job is %v, want not found", out.Result)
	}
	c.submit(h, job(refused, 1))
}
