package control

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/workload"
)

// callerLimit is the time limit of the callers of these tests.
const callerLimit = 3 * time.Second

// outageRig is an owner on a table with outages, with one worker.
type outageRig struct {
	t       *testing.T
	table   *outageTable
	o       *Owner
	workers *heldWorkers
	lines   *eventLog
}

// newOutageRig returns a rig whose worker has reported.
func newOutageRig(t *testing.T) *outageRig {
	t.Helper()
	r := &outageRig{t: t, table: &outageTable{Table: memtable.New()}, workers: newHeldWorkers("w0"), lines: &eventLog{Handler: slog.DiscardHandler}}
	r.o = r.startOwner()
	awaitOrders(t, r.o, "w0", func(int) bool { return r.workers.reported("w0") })
	return r
}

// startOwner acquires the domain, loads it and starts the owner.
func (r *outageRig) startOwner() *Owner {
	r.t.Helper()
	o := newOwner(context.Background(), Options{
		Host: "a", Table: r.table, Workers: r.workers, Members: r.workers, Log: slog.New(r.lines),
		Metrics: NewMetrics(prometheus.NewRegistry()), Retention: time.Minute, MaxLease: 10 * time.Second,
	}, acquireDomain(r.t, r.table), Config{Version: 1, Queues: []workload.Queue{heldQueue}}, boottime())
	if err := o.load(); err != nil {
		r.t.Fatal(err)
	}
	go o.run()
	r.t.Cleanup(func() {
		o.quit(context.Canceled)
		<-o.stopped
	})
	return o
}

// submit submits a job to an owner within a time limit and returns the channel of the
// reply.
func (r *outageRig) submit(o *Owner, id string, limit time.Duration) chan reply {
	job := &workload.Job{ID: id, Queue: heldQueue.Name, Steps: []workload.Step{{
		Tasks: 1, Estimate: testEstimate, DisruptionBudget: -1, Needs: infra.Resources{MilliCPU: 10, MemoryMB: 10},
	}}}
	c := make(chan reply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(r.t.Context(), limit)
		defer cancel()
		c <- o.submit(ctx, job, heldQueue)
	}()
	return c
}

// expect checks the result of a submission.
func (r *outageRig) expect(c chan reply, id string, want Result) {
	r.t.Helper()
	if got := <-c; got.Result != want {
		r.t.Errorf("%s: %v, want %v", id, got.Result, want)
	}
}

// wait lets time pass.
func (r *outageRig) wait(d time.Duration) {
	pause.For(r.t.Context(), d)
	synctest.Wait()
}

// beginOutage begins an outage and waits until a commit without jobs is in flight.
func (r *outageRig) beginOutage(fault tableFault) {
	r.t.Helper()
	synctest.Wait() // commits that began before have ended
	r.table.set(fault)
	for range 1000 {
		r.wait(time.Millisecond)
		committing := false
		onLoop(r.o, func() { committing = r.o.committing })
		if committing {
			return
		}
	}
	r.t.Fatal("no commit began")
}

// beginOutageWith begins an outage with a commit that contains a job, and returns the
// channel of the reply to its submission.
func (r *outageRig) beginOutageWith(fault tableFault, id string, limit time.Duration) chan reply {
	r.t.Helper()
	r.table.setFrom(id, fault)
	c := r.submit(r.o, id, limit)
	r.wait(100 * time.Millisecond)
	return c
}

// stored reports whether a job's row is in the table.
func (r *outageRig) stored(id string) bool {
	r.t.Helper()
	rows, err := r.table.Get(context.Background(), dispatch.JobPrefix+id)
	if err != nil {
		r.t.Fatal(err)
	}
	return len(rows) == 1 && rows[0].Version > 0
}

// expectNotRun checks that a job is neither stored nor was started.
func (r *outageRig) expectNotRun(ids ...string) {
	r.t.Helper()
	for _, id := range ids {
		if r.stored(id) {
			r.t.Errorf("%s was refused and is stored", id)
		}
		if n := r.starts(id); n > 0 {
			r.t.Errorf("%s was refused and was started %d times", id, n)
		}
	}
}

// starts counts the starts of a job.
func (r *outageRig) starts(id string) int {
	n := 0
	for _, job := range r.workers.startsAt("w0") {
		if job == id {
			n++
		}
	}
	return n
}

// expectOneRun checks that a job was started once.
func (r *outageRig) expectOneRun(ids ...string) {
	r.t.Helper()
	for _, id := range ids {
		if n := r.starts(id); n != 1 {
			r.t.Errorf("%s was started %d times, want once", id, n)
		}
	}
}

// settle lets commits and starts that are due take place.
func (r *outageRig) settle() { r.wait(5 * time.Second) }

// eventLog is a log handler that counts the lines of event 943 and adds up their jobs.
type eventLog struct {
	slog.Handler
	withdrawals []int64
}

// Enabled implements slog.Handler.
func (*eventLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l *eventLog) Handle(_ context.Context, rec slog.Record) error {
	if rec.Message == event.SubmissionsWithdrawn.Message {
		rec.Attrs(func(a slog.Attr) bool {
			if a.Key == "withdrawn" {
				l.withdrawals = append(l.withdrawals, a.Value.Int64())
			}
			return true
		})
	}
	return nil
}

// burst submits a job every 50 ms for a time, while an outage lasts, and returns the
// replies by job.
func (r *outageRig) burst(name string, d time.Duration) map[string]chan reply {
	all := map[string]chan reply{}
	for i := range int(d / (50 * time.Millisecond)) {
		id := fmt.Sprint(name, i)
		all[id] = r.submit(r.o, id, callerLimit)
		r.wait(50 * time.Millisecond)
	}
	return all
}

// TestTwoOutagesUnderBurst guards against submissions that end as unknown during an
// outage though no commit contained them, and against a refused one that runs. All
// refused callers are told when to return, and their jobs run once afterwards.
func TestTwoOutagesUnderBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRig(t)
		for i, fault := range []tableFault{r.table.silent, r.table.refusing} {
			r.table.set(fault)
			replies := r.burst(fmt.Sprint("outage", i, "-"), 4*time.Second)
			r.table.set(nil)
			r.settle()
			var refused, others []string
			for id, c := range replies {
				switch rep := <-c; rep.Result {
				case ResultRefused:
					refused = append(refused, id)
					if d := time.Duration(rep.RetryAfterMS) * time.Millisecond; d < minRetryAfter || d > maxRetryAfter+maxRetryAfter/2 {
						t.Errorf("%s: retry after %v", id, d)
					}
				case ResultDone, ResultUnknown:
					others = append(others, id)
				default:
					t.Errorf("%s: %v", id, rep.Result)
				}
			}
			r.expectNotRun(refused...)
			r.expectOneRun(others...)
			const maxSent = 2 // jobs of the commit that is in flight from the begin of the outage
			if len(others) > maxSent {
				t.Errorf("%d of %d submissions weren't refused, want at most %d", len(others), len(replies), maxSent)
			}
			for _, id := range refused {
				r.expect(r.submit(r.o, id, callerLimit), id, ResultDone)
			}
			r.settle()
			r.expectOneRun(refused...)
		}
		var logged int64
		for _, n := range r.lines.withdrawals {
			logged += n
		}
		if n := len(r.lines.withdrawals); n != 2 {
			t.Errorf("%d lines about withdrawn submissions, want one for each of 2 outages", n)
		}
		if n := testutil.ToFloat64(r.o.opts.Metrics.withdrawn); n == 0 || n != float64(logged) {
			t.Errorf("%v submissions were counted as withdrawn, %d in the log", n, logged)
		}
		if s := testutil.ToFloat64(r.o.opts.Metrics.outage); s != 0 {
			t.Errorf("the outage has lasted %v s after its end, want 0", s)
		}
	})
}

// TestOutageEndsWithAttemptsInFlight guards against a withdrawn job that one of several
// attempts in flight makes durable when the table answers them all, and against a job of
// theirs that is applied twice.
func TestOutageEndsWithAttemptsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRig(t)
		release := make(chan struct{})
		sent := r.beginOutageWith(r.table.holding(release), "sent", callerLimit)
		withdrawn := r.submit(r.o, "withdrawn", callerLimit)
		r.expect(withdrawn, "withdrawn", ResultRefused)
		r.wait(1400 * time.Millisecond)
		r.table.set(nil)
		close(release)
		r.expect(sent, "sent", ResultDone)
		r.settle()
		r.expectOneRun("sent")
		r.expectNotRun("withdrawn")
	})
}

// TestJobInCommitInFlightIsFoundAgain guards against a job that is refused though the
// commit in flight contains it: its caller could submit it elsewhere and it would run
// as well. The same ID finds it once the store is back.
func TestJobInCommitInFlightIsFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRig(t)
		r.expect(r.beginOutageWith(r.table.silent, "sent", 2*time.Second), "sent", ResultUnknown)
		again := r.submit(r.o, "sent", callerLimit)
		r.wait(time.Second)
		r.table.set(nil)
		r.expect(again, "sent", ResultDone)
		r.expect(r.submit(r.o, "sent", callerLimit), "sent", ResultDone)
		r.settle()
		r.expectOneRun("sent")
	})
}

// TestOwnerLostAfterWithdrawal guards against a withdrawn job that the next owner has, or
// that a late attempt of the lost owner makes durable.
func TestOwnerLostAfterWithdrawal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRig(t)
		release := make(chan struct{})
		r.beginOutage(r.table.holding(release))
		r.expect(r.submit(r.o, "withdrawn", callerLimit), "withdrawn", ResultRefused)
		r.table.set(nil)
		r.o.quit(errors.New("lost"))
		<-r.o.stopped
		next := r.startOwner()
		close(release) // attempts of the lost owner arrive late
		r.settle()
		r.expectNotRun("withdrawn")
		if got := next.jobState(t.Context(), "withdrawn").Result; got != ResultNotFound {
			t.Errorf("state of the withdrawn job at the next owner: %v, want not found", got)
		}
		r.expect(r.submit(next, "withdrawn", callerLimit), "withdrawn", ResultDone)
		r.settle()
		r.expectOneRun("withdrawn")
		if !slices.Equal(r.lines.withdrawals, []int64{1}) {
			t.Errorf("withdrawn submissions in the log: %v, want one line with 1", r.lines.withdrawals)
		}
	})
}

// TestOwnerLostBeforeWithdrawal guards against a submission that ends as unknown though it
// was in no commit when its owner ended: the next owner may get it.
func TestOwnerLostBeforeWithdrawal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRig(t)
		r.beginOutage(r.table.silent)
		waiting := r.submit(r.o, "waiting", callerLimit)
		r.wait(100 * time.Millisecond)
		r.o.quit(errors.New("lost"))
		r.expect(waiting, "waiting", ResultNotOwner)
		r.table.set(nil)
		next := r.startOwner()
		r.settle()
		r.expectNotRun("waiting")
		r.expect(r.submit(next, "waiting", callerLimit), "waiting", ResultDone)
		r.settle()
		r.expectOneRun("waiting")
	})
}

// TestOwnerLostWithCommitInFlight guards against a job that counts as not run when its
// owner ends, though a commit that was sent contains it.
func TestOwnerLostWithCommitInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRig(t)
		sent := r.beginOutageWith(r.table.losingAnswers, "sent", callerLimit)
		r.o.quit(errors.New("lost"))
		r.expect(sent, "sent", ResultUnknown)
		r.table.set(nil)
		next := r.startOwner()
		r.expect(r.submit(next, "sent", callerLimit), "sent", ResultDone)
		r.settle()
		r.expectOneRun("sent")
	})
}

// TestWithdrawalIsNotDelayed guards against a refusal that waits for the next cycle: a
// host that has forwarded the submission gives up 0.2 s after the withdrawal is due, and
// its caller is then told "unknown".
func TestWithdrawalIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRig(t)
		r.wait(33 * time.Millisecond) // so that no cycle is due a second after the commit
		r.table.setFrom("sent", r.table.silent)
		sent := r.submit(r.o, "sent", 2*time.Second)
		begun := time.Now()
		for inFlight := false; !inFlight; {
			r.wait(time.Millisecond)
			onLoop(r.o, func() { inFlight, begun = !r.o.state.JobFlushed("sent") && r.o.committing, r.o.lastCommit })
		}
		r.expect(r.submit(r.o, "withdrawn", callerLimit), "withdrawn", ResultRefused)
		if after := time.Since(begun); after != storeUnavailableAfter {
			t.Errorf("refused %v after the commit began, want %v", after, storeUnavailableAfter)
		}
		r.expect(sent, "sent", ResultUnknown)
		r.table.set(nil)
	})
}

// TestRetryDelayEndsWithTimeLimit guards against a retry delay beyond the caller's time
// limit, for withdrawn and for later submissions, of callers on this host and on others.
func TestRetryDelayEndsWithTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRig(t)
		r.beginOutage(r.table.silent)
		delays := func(after time.Duration, limitMS int64) []int64 {
			r.wait(after)
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(limitMS)*time.Millisecond)
			defer cancel()
			job := workload.Job{ID: fmt.Sprint("job", limitMS), Queue: heldQueue.Name, Steps: []workload.Step{{
				Tasks: 1, Estimate: testEstimate, DisruptionBudget: -1,
			}}}
			other := job
			other.ID += "forwarded"
			forwarded := make(chan reply, 1)
			go func() {
				forwarded <- submitForwarded(t.Context(), r.o, &submitRequest{Job: other, Queue: heldQueue, LimitMS: limitMS})
			}()
			local, remote := r.o.submit(ctx, &job, heldQueue), <-forwarded
			if local.Result != ResultRefused || remote.Result != ResultRefused {
				t.Errorf("results with a limit of %d ms: %v and %v, want refused", limitMS, local.Result, remote.Result)
			}
			return []int64{local.RetryAfterMS, remote.RetryAfterMS}
		}
		if d := delays(0, 2200); !slices.Equal(d, []int64{1000, 1000}) { // 1.2 s are left when it is withdrawn
			t.Errorf("delays of withdrawn submissions are %v ms, want 1,000", d)
		}
		if d := delays(2*time.Second, 2200); !slices.Equal(d, []int64{2000, 2000}) {
			t.Errorf("delays of later submissions are %v ms, want 2,000", d)
		}
		if d := delays(0, 60_000); slices.Min(d) < 3000 {
			t.Errorf("delays with a long limit are %v ms, want 3,000 or more", d)
		}
		r.table.set(nil)
	})
}

// TestLostAnswerDuringOutage guards against a job that is withdrawn or doubled after its
// commit took effect without an answer, and against jobs accepted since that are not
// refused.
func TestLostAnswerDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRig(t)
		sent := r.beginOutageWith(r.table.losingAnswers, "sent", callerLimit)
		r.table.set(r.table.silent)
		if !r.stored("sent") {
			t.Fatal("the commit had no effect")
		}
		r.expect(r.submit(r.o, "withdrawn", callerLimit), "withdrawn", ResultRefused)
		r.table.set(nil)
		r.expect(sent, "sent", ResultDone)
		r.settle()
		r.expectOneRun("sent")
		r.expectNotRun("withdrawn")
	})
}

// TestCancelledJobIsWithdrawn guards against a cancellation without an answer when its
// job is withdrawn.
func TestCancelledJobIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRig(t)
		r.beginOutage(r.table.silent)
		submitted := r.submit(r.o, "job", callerLimit)
		r.wait(10 * time.Millisecond)
		cancelled := result(func() reply { return r.o.cancel(t.Context(), "job") })
		r.expect(submitted, "job", ResultRefused)
		synctest.Wait()
		expectResult(t, cancelled, ResultRefused)
		r.table.set(nil)
		r.settle()
		r.expectNotRun("job")
	})
}

// TestResigningOwnerLeavesJobsToNext guards against submissions that end as unknown since
// the last commit of a resigning owner had no room for them.
func TestResigningOwnerLeavesJobsToNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOutageRig(t)
		const jobs = maxBatchWrites + 20
		results := map[Result]int{}
		var replies []chan reply
		onLoop(r.o, func() { // the loop takes up all of them before its next cycle
			for i := range jobs {
				replies = append(replies, r.submit(r.o, fmt.Sprint("job", i), callerLimit))
			}
			for len(r.o.events) < jobs {
				runtime.Gosched()
			}
			go r.o.resign(t.Context())
		})
		for i, c := range replies {
			rep := <-c
			results[rep.Result]++
			if stored := r.stored(fmt.Sprint("job", i)); stored != (rep.Result == ResultDone) {
				t.Errorf("job%d: %v, stored: %v", i, rep.Result, stored)
			}
		}
		if results[ResultDone]+results[ResultNotOwner] != jobs || results[ResultNotOwner] == 0 {
			t.Errorf("results: %v, want done or not owner", results)
		}
	})
}
