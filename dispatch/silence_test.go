package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

const (
	silenceWorkers = 30
	// lookAgain is the time between two looks at a worker that doesn't answer.
	lookAgain = 300 * time.Millisecond
	// lostAfter is when the runs of a silent worker may start elsewhere: after a
	// lease on a clock that is slow, and a margin.
	lostAfter = 7 * time.Second
	// doubtFor is how much later that is where many fell silent together.
	doubtFor = 2500 * time.Millisecond
)

// startEverywhere has a task at work on each of the workers.
func startEverywhere(t *testing.T) (*rig, map[string]dispatch.StartOrder) {
	r := newRig(t, silenceWorkers)
	r.submit(queueShort, "job", step(silenceWorkers, 16))
	at := map[string]dispatch.StartOrder{}
	for _, o := range r.plan() {
		at[o.Worker.ID] = o
	}
	for id, o := range at {
		r.report(id, []runner.ActiveRun{active(o)}, nil)
	}
	r.flush()
	if len(at) != silenceWorkers {
		t.Fatalf("%d tasks started, want one on each of %d workers", len(at), silenceWorkers)
	}
	return r, at
}

// TestSilenceOfManyIsTheOwners replays how a task ran twice: its worker and most
// others weren't heard for seconds, since the owner's link was full. The owner
// held them to be silent, no longer renewed their leases, and started their tasks
// again. While many fall silent at once, leases go on.
func TestSilenceOfManyIsTheOwners(t *testing.T) {
	r, at := startEverywhere(t)
	for waited := time.Duration(0); waited < doubtFor-lookAgain; waited += lookAgain {
		r.pass(lookAgain)
		for i := range silenceWorkers {
			r.silence(worker(i))
		}
		for i := range silenceWorkers {
			if _, renewal, _ := r.state.Renewal(r.now, worker(i), true); renewal.LeaseUntil == 0 {
				t.Fatalf("after %v the lease of worker %d isn't renewed", waited, i)
			}
		}
		if starts := r.plan(); len(starts) > 0 {
			t.Fatalf("after %v %d starts", waited, len(starts))
		}
	}
	for id, o := range at {
		r.report(id, nil, []runner.RunEnd{end(1, o, runner.EndDone)})
	}
	r.flush()
	if starts := r.plan(); len(starts) > 0 {
		t.Errorf("%d tasks start again that had ended", len(starts))
	}
}

// TestManyThatAreGoneAreFound has most workers be gone in truth. What ran there
// starts again, no later than the doubt and a lease after.
func TestManyThatAreGoneAreFound(t *testing.T) {
	r, at := startEverywhere(t)
	const gone = 20
	for waited := time.Duration(0); waited <= doubtFor+lookAgain+lostAfter; waited += lookAgain {
		r.pass(lookAgain)
		for i := range silenceWorkers {
			if i < gone {
				r.silence(worker(i))
				continue
			}
			var ends []runner.RunEnd // room for those that are lost
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
	t.Error("nothing that ran on workers that are gone starts elsewhere")
}

// TestFewAreSilentAtOnce renews no lease of a rack that falls silent by itself.
func TestFewAreSilentAtOnce(t *testing.T) {
	r, _ := startEverywhere(t)
	r.pass(lookAgain)
	const rack = 9
	for i := range rack {
		r.silence(worker(i))
	}
	for i := range rack {
		if _, renewal, _ := r.state.Renewal(r.now, worker(i), true); renewal.LeaseUntil != 0 {
			t.Errorf("the lease of worker %d is renewed though it is silent", i)
		}
	}
}

// TestPlanAtMost gives the starts that are first in the queue, and what it
// doesn't give takes no room from what comes next.
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
		t.Errorf("%d starts where none may be given", len(starts))
	}
}
