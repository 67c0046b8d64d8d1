package control

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/fireflygate/fireflygate/workload"
)

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
