package dispatch_test

import (
	"slices"
	"testing"
	"time"
)

// TestLostTaskStartsOnWorkerThatAnswers guards against a long-running task that is lost and starts
// on a worker which fell silent meanwhile: as that may have started again, the task would stand
// for the longest lease once more.
func TestLostTaskStartsOnWorkerThatAnswers(t *testing.T) {
	r, silent := newSilentRig(t)
	other := otherWorker(silent)
	r.advance(testLease + time.Second)
	r.noAnswer(silent)
	r.plan() // finds the lease over
	r.flush()
	if starts := r.plan(); len(starts) != 0 {
		t.Fatalf("the task starts on %s, which last answered over %v ago", starts[0].Worker.ID, testLease)
	}
	if polls := r.state.EarlyPolls(r.now); !slices.Contains(polls, other) {
		t.Fatalf("%v are polled, want %s", polls, other)
	}
	r.report(other, nil, nil)
	if starts := r.plan(); len(starts) != 0 {
		t.Fatal("the task starts before its location is durable")
	}
	r.flush()
	if starts := r.plan(); len(starts) != 1 || starts[0].Worker.ID != other {
		t.Errorf("starts %+v, want one on %s", starts, other)
	}
}

// TestCheckOfWorkersPreemptsNothing guards against runs that are stopped to make room for a lost
// task, while a worker that has the room is being asked whether it answers.
func TestCheckOfWorkersPreemptsNothing(t *testing.T) {
	r := newRig(t, 3)
	r.submit(queueShort, "job", step(1, 10, longRunning))
	silent := r.plan()[0].Worker.ID
	r.submit(queueLong, "filler", step(1, 16))
	filler := r.plan()[0]
	r.flush()
	for range int((testLease + 4*time.Second) / testTick) {
		r.noAnswer(silent)
		r.report(filler.Worker.ID, nil, nil)
		r.advance(testTick)
		r.plan()
		r.flush()
	}
	if n := r.state.Stats.Preempted; n != 0 {
		t.Errorf("%d runs were preempted", n)
	}
}
