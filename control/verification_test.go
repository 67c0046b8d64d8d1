package control

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/runner"
)

// polledWorkers count polls and answer them all alike.
type polledWorkers struct {
	runner.Client
	status runner.Status
	polls  atomic.Int64
}

// Renew implements runner.Client.
func (p *polledWorkers) Renew(context.Context, runner.Worker, runner.Renewal) (runner.Answer, runner.Report) {
	p.polls.Add(1)
	return runner.Answer{Status: p.status, ClockMS: 1}, runner.Report{ClockMS: 1}
}

// newPollingOwner returns an owner of workers whose polls are answered with the given
// status, and which it may poll.
func newPollingOwner(t *testing.T, table *blockingTable, status runner.Status, ids ...string) (*Owner, *polledWorkers) {
	t.Helper()
	o, workers := newTestOwner(t, table), &polledWorkers{status: status}
	o.relays.direct = workers
	var list []runner.Worker
	for _, id := range ids {
		list = append(list, runner.Worker{ID: id, Address: "127.0.0.1:1", Pool: "pool"})
	}
	o.setMembers(list)
	o.step() // the worker is added to the roster
	runPosted(o)
	return o, workers
}

// TestStalledOwnerVerifiesFirst guards against an owner that wakes after it was replaced
// and renews leases that its successor doesn't know of.
func TestStalledOwnerVerifiesFirst(t *testing.T) {
	for name, cycle := range map[string]func(*Owner){"step": (*Owner).step, "poll on": (*Owner).pollOn} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { stalledOwnerVerifiesFirst(t, cycle) })
		})
	}
}

func stalledOwnerVerifiesFirst(t *testing.T, cycle func(*Owner)) {
	t.Helper()
	table := &blockingTable{Table: memtable.New()}
	o, workers := newPollingOwner(t, table, runner.Done, "w")
	table.hold = make(chan struct{})
	o.cycleAt.Store(int64(boottime() - stalledAfter))
	cycle(o)
	runPosted(o)
	if n := workers.polls.Load(); o.ownershipValid() || n != 0 {
		t.Errorf("owner that stood still may give orders, %d polls sent", n)
	}
	close(table.hold)
	runPosted(o)
	cycle(o)
	runPosted(o)
	if n := workers.polls.Load(); !o.ownershipValid() || n == 0 {
		t.Errorf("owner doesn't go on after a commit, %d polls sent", n)
	}
}

// TestStallMeetsOutage checks that an owner whose process stood still goes on after
// stallTimeout if the table service doesn't answer.
func TestStallMeetsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &blockingTable{Table: memtable.New()}
		o, _ := newPollingOwner(t, table, runner.Done, "w")
		table.hold = make(chan struct{})
		defer close(table.hold)
		o.committedAt.Store(int64(boottime() - 2*stallTimeout))
		o.stalledAt.Store(int64(boottime() - stallTimeout/2))
		if o.ownershipValid() {
			t.Error("owner gives orders at once")
		}
		o.stalledAt.Store(int64(boottime() - stallTimeout))
		if !o.ownershipValid() {
			t.Error("owner gives no orders for longer than its timeout")
		}
	})
}

// TestFaultyWorkerEndsNoOwner guards against owners that end one after another since one
// worker refuses every token.
func TestFaultyWorkerEndsNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, workers := newPollingOwner(t, &blockingTable{Table: memtable.New()}, runner.Fenced, "w")
		for range 3 {
			if s := o.sessions["w"]; s != nil {
				s.nextPoll = time.Time{}
			}
			o.step()
			runPosted(o)
		}
		if n := workers.polls.Load(); n < 2 || o.ctx.Err() != nil || o.refused() {
			t.Errorf("after %d refused polls: ended with %v, starts nothing: %v; want it to go on", n, context.Cause(o.ctx), o.refused())
		}
	})
}

// TestRefusedOwnerStopsUntilVerified guards against starts of a replaced owner between a
// worker's refusal and the end of the ownership, and against runs that end since one
// faulty worker meets an outage of the table service.
func TestRefusedOwnerStopsUntilVerified(t *testing.T) {
	for name, c := range map[string]struct {
		workers []string
		ends    bool
	}{
		"one worker refuses": {[]string{"w0"}, false},
		"two workers refuse": {[]string{"w0", "w1"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &blockingTable{Table: memtable.New()}
				o, _ := newPollingOwner(t, table, runner.Fenced, c.workers...)
				table.hold = make(chan struct{})
				defer close(table.hold)
				o.step()
				runPosted(o)
				if !o.refused() || !o.ownershipValid() {
					t.Fatal("owner may start tasks, or renews no leases, after a refusal")
				}
				o.refusedAt.Store(int64(boottime() - refusalTimeout))
				o.committedAt.Store(o.refusedAt.Load() - 1)
				o.step()
				if err := context.Cause(o.ctx); errors.Is(err, election.ErrDeposed) != c.ends {
					t.Errorf("owner that can't verify its ownership has ended with %v; want an end: %v", err, c.ends)
				}
			})
		})
	}
}
