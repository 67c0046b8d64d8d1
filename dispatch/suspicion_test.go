package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

const (
	outageWorkers = 30
	// pollInterval is the time between two polls of an unresponsive worker.
	pollInterval = 300 * time.Millisecond
	// lostAfter is when the runs of an unresponsive worker may start elsewhere:
	// after a lease on a slow clock, and a margin.
	lostAfter = 7 * time.Second
	// massOutageGrace is the additional delay if many are unresponsive at once.
	massOutageGrace = 2500 * time.Millisecond
)

// startEverywhere returns a rig with one run on each worker.
func startEverywhere(t *testing.T) (*rig, map[string]dispatch.StartOrder) {
	r := newRig(t, outageWorkers)
	r.submit(queueShort, "job", step(outageWorkers, 16))
	at := map[string]dispatch.StartOrder{}
	for _, o := range r.plan() {
		at[o.Worker.ID] = o
	}
	for id, o := range at {
		r.report(id, []runner.ActiveRun{active(o)}, nil)
	}
	r.flush()
	if len(at) != outageWorkers {
		t.Fatalf("%d tasks started, want one on each of %d workers", len(at), outageWorkers)
	}
	return r, at
}

// TestMassOutageKeepsLeases checks that leases are renewed while most workers
// become unresponsive at once, as with a saturated link of the owner. Otherwise
// their tasks would run twice.
func TestMassOutageKeepsLeases(t *testing.T) {
	r, at := startEverywhere(t)
	for waited := time.Duration(0); waited < massOutageGrace-pollInterval; waited += pollInterval {
		r.advance(pollInterval)
		for i := range outageWorkers {
			r.noAnswer(worker(i))
		}
		for i := range outageWorkers {
			if _, renewal, _ := r.state.Renewal(r.now, worker(i), testLease); renewal.LeaseUntil == 0 {
				t.Fatalf("after %v the lease of worker %d isn't renewed", waited, i)
			}
		}
		if starts := r.plan(); len(starts) > 0 {
			t.Fatalf("after %v: %d starts, want none", waited, len(starts))
		}
	}
	for id, o := range at {
		r.report(id, nil, []runner.RunEnd{end(1, o, runner.EndDone)})
	}
	r.flush()
	if starts := r.plan(); len(starts) > 0 {
		t.Errorf("%d ended tasks started again", len(starts))
	}
}

// TestMassDepartureIsDetected checks that the runs of many terminated workers
// start again, at most massOutageGrace and a lease later.
func TestMassDepartureIsDetected(t *testing.T) {
	r, at := startEverywhere(t)
	const departed = 20
	for waited := time.Duration(0); waited <= massOutageGrace+pollInterval+lostAfter; waited += pollInterval {
		r.advance(pollInterval)
		for i := range outageWorkers {
			if i < departed {
				r.noAnswer(worker(i))
				continue
			}
			var ends []runner.RunEnd // frees capacity for the lost runs
			if o, ok := at[worker(i)]; ok {
				ends = append(ends, end(1, o, runner.EndDone))
				delete(at, worker(i))
			}
			r.report(worker(i), nil, ends)
		}
		r.flush()
		if len(r.plan()) > 0 {
			return
		}
	}
	t.Error("no run of the terminated workers started elsewhere")
}

// TestMassLossBesideAnswersIsSuspected guards against long-running tasks that stand for over 9 s
// after more than a third of the workers are lost: the owner went on renewing their leases for
// 2.5 s, though all other workers answered it.
func TestMassLossBesideAnswersIsSuspected(t *testing.T) {
	r, at := startEverywhere(t)
	const lost = 12
	for range 2 {
		r.advance(pollInterval)
		for i := range outageWorkers {
			if i < lost {
				r.noAnswer(worker(i))
			} else {
				r.report(worker(i), []runner.ActiveRun{active(at[worker(i)])}, nil)
			}
		}
	}
	for i := range lost {
		r.noAnswer(worker(i))
		if _, renewal, _ := r.state.Renewal(r.now, worker(i), testLease); renewal.LeaseUntil != 0 {
			t.Errorf("the lease of unresponsive worker %d is renewed", i)
		}
	}
}

// TestMassLossAsksOtherWorkers guards against an owner that waits for the end of long polls to learn
// that its processor and link work.
func TestMassLossAsksOtherWorkers(t *testing.T) {
	r, _ := startEverywhere(t)
	const lost = 12
	r.advance(pollInterval)
	for i := range lost {
		r.noAnswer(worker(i))
	}
	if polls := r.state.EarlyPolls(r.now); len(polls) != outageWorkers-lost {
		t.Errorf("%d workers are asked, want the %d others", len(polls), outageWorkers-lost)
	}
}

// TestRackOutageIsSuspected checks that leases aren't renewed when only a rack
// of workers becomes unresponsive.
func TestRackOutageIsSuspected(t *testing.T) {
	r, _ := startEverywhere(t)
	r.advance(pollInterval)
	const rack = 9
	for i := range rack {
		r.noAnswer(worker(i))
	}
	for i := range rack {
		if _, renewal, _ := r.state.Renewal(r.now, worker(i), testLease); renewal.LeaseUntil != 0 {
			t.Errorf("the lease of unresponsive worker %d is renewed", i)
		}
	}
}

// TestPlanAtMost checks that the starts first in the queue are given, and that
// tasks beyond the limit reserve no capacity.
func TestPlanAtMost(t *testing.T) {
	r := newRig(t, 2)
	r.submit(queueLong, "later", step(4, 8))
	r.submit(queueShort, "first", step(3, 8))
	jobs := map[string]int{}
	for range 2 {
		for _, o := range r.state.PlanAtMost(r.now, 2).Starts {
			jobs[o.Start.Task.Job]++
			r.state.HandleStartAnswer(r.now, o, runner.Answer{Status: runner.Done, ClockMS: r.clock()})
		}
	}
	if jobs["first"] != 3 || jobs["later"] != 1 {
		t.Errorf("started %v, want all of the first job and one of the later", jobs)
	}
	if starts := r.state.PlanAtMost(r.now, 0).Starts; len(starts) > 0 {
		t.Errorf("%d starts with a limit of 0", len(starts))
	}
}
