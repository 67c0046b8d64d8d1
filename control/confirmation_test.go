package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/runner"
)

// silentWorkers are workers that answer no poll.
type silentWorkers struct{ runner.Client }

// Renew implements runner.Client.
func (silentWorkers) Renew(context.Context, runner.Worker, runner.Renewal) (runner.Answer, runner.Report) {
	return runner.Answer{Status: runner.Unknown}, runner.Report{}
}

// inheritLapsed makes an owner inherit a worker whose lease has been over for long, and
// which doesn't answer.
func inheritLapsed(o *Owner) runner.Worker {
	o.relays.direct = silentWorkers{}
	w := runner.Worker{ID: "w", Address: "127.0.0.1:1", Pool: "pool"}
	o.state.InheritWorker(dispatch.RosterWorker{Worker: w, LeasedIn: 1}, true)
	return w
}

// TestLapseIsConfirmedAtOnce guards against a restart of tasks that waits for the next
// heartbeat: the cycle that finds a lease over must begin a commit of the owner's row.
func TestLapseIsConfirmedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOwner(t, memtable.New())
		w := inheritLapsed(o)
		o.lastCommit = time.Now() // no heartbeat is due
		before := o.committer.Version()
		o.step()
		if !o.state.HasWorker(w.ID) {
			t.Error("a lease counts as over before a commit was applied")
		}
		runPosted(o)
		if o.committer.Version() == before {
			t.Error("no commit began in the cycle that found a lease over")
		}
		o.step()
		if o.state.HasWorker(w.ID) {
			t.Error("the lease doesn't count as over in the next cycle")
		}
	})
}

// TestEarlierCommitConfirmsNoLapse guards against a lease that counts as over because
// of a commit that began before it was: a successor may renew it while that commit's
// outcome is on its way.
func TestEarlierCommitConfirmsNoLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &blockingTable{Table: memtable.New()}
		o := newTestOwner(t, table)
		table.hold = make(chan struct{})
		o.flush(time.Now())
		synctest.Wait() // the commit is in flight
		pause.For(t.Context(), time.Millisecond)
		w := inheritLapsed(o)
		o.step()
		close(table.hold)
		runPosted(o)
		o.state.ExpireLeases(time.Now())
		if !o.state.HasWorker(w.ID) {
			t.Error("a commit that began before counts as a confirmation")
		}
		o.step()
		runPosted(o)
		o.step()
		if o.state.HasWorker(w.ID) {
			t.Error("the commit after it doesn't count as a confirmation")
		}
	})
}
