package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// TestStaleMarkIsNotBelieved replays how a task came to run twice. Its start on
// one worker was refused while the commit that names this worker was under way,
// and it was started on a second one. Then the owner was replaced. The store named
// the first worker, so the next owner didn't wait for the second one's report
// and started the task a second time.
func TestStaleMarkIsNotBelieved(t *testing.T) {
	r, refused, b := refusedDuringCommit(t)
	early := r.plan()
	r.apply(b)
	r.takeOver(worker(0), worker(1))
	r.members(2)
	r.report(refused.Worker.ID, nil, nil)
	r.plan()
	r.flush() // the mark that no longer holds
	if again := r.plan(); len(early)+len(again) > 1 {
		t.Errorf("started by the first owner: %v, and by the next: %v", early, again)
	}
}

// TestRefusedStartIsMadeElsewhere checks that a task whose start was refused
// while its commit was under way starts elsewhere once the store no longer names
// the first worker.
func TestRefusedStartIsMadeElsewhere(t *testing.T) {
	r, _, b := refusedDuringCommit(t)
	r.apply(b)
	r.plan()
	r.flush()
	r.pass(10 * time.Millisecond)
	if starts := r.plan(); len(starts) != 1 {
		t.Errorf("%d starts after the store was told, want 1", len(starts))
	}
}

// refusedDuringCommit has the start of a task refused while the batch that names
// its worker is under way.
func refusedDuringCommit(t *testing.T) (r *rig, refused dispatch.StartOrder, under *dispatch.Batch) {
	t.Helper()
	r = newRig(t, 2)
	r.submit(queueShort, "one", step(1, 4))
	refused = r.state.Plan(r.now).Starts[0]
	under, err := r.state.Flush(r.now, 98)
	if err != nil {
		t.Fatal(err)
	}
	r.state.HandleStartAnswer(r.now, refused, runner.Answer{Status: runner.NoCapacity})
	return r, refused, under
}
