package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// TestStaleRunLocationIsNotTrusted checks that a task doesn't run twice when
// its start is refused during the commit that records its worker. The next
// owner would wait for that worker's report only, not for the worker where the
// task was started instead.
func TestStaleRunLocationIsNotTrusted(t *testing.T) {
	r, refused, b := refusedDuringCommit(t)
	early := r.plan()
	r.apply(b)
	r.takeOver(worker(0), worker(1))
	r.members(2)
	r.report(refused.Worker.ID, nil, nil)
	r.plan()
	r.flush() // overwrites the stale location
	if again := r.plan(); len(early)+len(again) > 1 {
		t.Errorf("started by the first owner: %v, and by the next: %v", early, again)
	}
}

// TestRefusedStartIsPlacedElsewhere checks that a task whose start was refused
// during the commit that records its worker starts elsewhere once the store no
// longer names that worker.
func TestRefusedStartIsPlacedElsewhere(t *testing.T) {
	r, _, b := refusedDuringCommit(t)
	r.apply(b)
	r.plan()
	r.flush()
	r.advance(10 * time.Millisecond)
	if starts := r.plan(); len(starts) != 1 {
		t.Errorf("%d starts after the location was overwritten, want 1", len(starts))
	}
}

// refusedDuringCommit returns a start that was refused while the batch that
// records its worker is in flight.
func refusedDuringCommit(t *testing.T) (r *rig, refused dispatch.StartOrder, batch *dispatch.Batch) {
	t.Helper()
	r = newRig(t, 2)
	r.submit(queueShort, "one", step(1, 4))
	refused = r.state.Plan(r.now).Starts[0]
	batch, err := r.state.Flush(r.now, 98)
	if err != nil {
		t.Fatal(err)
	}
	r.state.HandleStartAnswer(r.now, refused, runner.Answer{Status: runner.NoCapacity})
	return r, refused, batch
}
