package dispatch_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/runner"
)

// TestUnresponsiveWorkerGetsNoAcknowledgment guards against a renewal that makes a worker forget
// the end of a run that nobody has seen: the worker has started again and carried a start out,
// none of its answers arrive, and the run counts as over once the lease of the life before is.
func TestUnresponsiveWorkerGetsNoAcknowledgment(t *testing.T) {
	first := newLifeRig(t)
	first.submit(queueShort, "before", step(1, 2))
	for _, o := range first.startAll() {
		first.end(o, runner.EndDone)
	}
	_, listing, _ := first.state.Renewal(first.now, worker(0), testLease)
	first.state.HandleReport(first.now, worker(0), listing, first.answer(runner.Done), first.renew(listing))
	first.submit(queueShort, "next", step(1, 2)) // makes the end durable too
	start := first.state.Plan(first.now).Starts[0]
	first.state.HandleStartAnswer(first.now, start, runner.Answer{})
	second := newTestLife(first.rig, 2)
	second.active = append(second.active, active(start))
	second.end(start, runner.EndDone)
	for elapsed := testTick; elapsed < 3*testLease; elapsed += testTick {
		second.advance(testTick)
		_, o, _ := second.state.Renewal(second.now, worker(0), testLease)
		second.renew(o)
		second.state.HandleReport(second.now, worker(0), o, runner.Answer{}, runner.Report{})
		second.flush()
		second.state.Plan(second.now)
		if len(second.ends) == 0 {
			t.Fatalf("the end of run %d is acknowledged after %v, unseen", start.Start.Run, elapsed)
		}
	}
}
