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

// newPollingOwner returns an owner of a worker whose polls are answered with the given
// status, and which it may poll.
func newPollingOwner(t *testing.T, table *blockingTable, status runner.Status) (*Owner, *polledWorkers) {
	t.Helper()
	o, workers := newTestOwner(t, table), &polledWorkers{status: status}
	o.relays.direct = workers
	o.setMembers([]runner.Worker{{ID: "w", Address: "127.0.0.1:1", Pool: "pool"}})
	o.step() // the worker is added to the roster
	runPosted(o)
	return o, workers
}

// TestStalledOwnerVerifiesFirst guards against an owner that wakes after it was replaced
// and renews leases that its successor doesn't know of.
func TestStalledOwnerVerifiesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &blockingTable{Table: memtable.New()}
		o, workers := newPollingOwner(t, table, runner.Done)
		table.hold = make(chan struct{})
		o.cycleAt.Store(int64(boottime() - stalledAfter))
		o.step()
		runPosted(o)
		if n := workers.polls.Load(); o.ownershipValid() || n != 0 {
			t.Errorf("owner that stood still may give orders, %d polls sent", n)
		}
		close(table.hold)
		runPosted(o)
		o.step()
		runPosted(o)
		if n := workers.polls.Load(); !o.ownershipValid() || n == 0 {
			t.Errorf("owner doesn't go on after a commit, %d polls sent", n)
		}
	})
}

// TestStallMeetsOutage checks that an owner whose process stood still goes on after
// stallTimeout if the table service doesn't answer.
func TestStallMeetsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &blockingTable{Table: memtable.New()}
		o, _ := newPollingOwner(t, table, runner.Done)
		table.hold = make(chan struct{})
		defer close(table.hold)
		o.committedAt.Store(int64(boottime() - 2*stallTimeout))
		o.verification.require(boottime()-stallTimeout, stallTimeout)
		if !o.verification.open(time.Duration(o.committedAt.Load())) || !o.ownershipValid() {
			t.Error("owner gives no orders for longer than its timeout")
		}
	})
}

// TestFaultyWorkerEndsNoOwner guards against owners that end one after another since one
// worker refuses every token.
func TestFaultyWorkerEndsNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, workers := newPollingOwner(t, &blockingTable{Table: memtable.New()}, runner.Fenced)
		for range 3 {
			if s := o.sessions["w"]; s != nil {
				s.nextPoll = time.Time{}
			}
			o.step()
			runPosted(o)
		}
		if n := workers.polls.Load(); n < 2 || o.ctx.Err() != nil || !o.ownershipValid() {
			t.Errorf("after %d refused polls: ended with %v, may give orders: %v; want it to go on", n, context.Cause(o.ctx), o.ownershipValid())
		}
	})
}

// TestRefusedOwnerStopsUntilVerified guards against orders of a replaced owner between a
// worker's refusal and the end of the ownership.
func TestRefusedOwnerStopsUntilVerified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &blockingTable{Table: memtable.New()}
		o, workers := newPollingOwner(t, table, runner.Fenced)
		table.hold = make(chan struct{})
		defer close(table.hold)
		o.step()
		runPosted(o)
		if o.ownershipValid() {
			t.Fatalf("owner may give orders after %d refused polls", workers.polls.Load())
		}
		o.verification.deadline.Store(0) // refusalTimeout has passed
		o.step()
		if err := context.Cause(o.ctx); !errors.Is(err, election.ErrDeposed) {
			t.Errorf("owner that can't verify its ownership has ended with %v, want ErrDeposed", err)
		}
	})
}
