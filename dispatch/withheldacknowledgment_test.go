package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
)

// TestEndsAreAcknowledgedThoughStartsGoOn guards against a worker whose ends are never
// acknowledged, as a start to it is always under way: its list would reach its maximum length,
// and later ends wouldn't be listed any more.
func TestEndsAreAcknowledgedThoughStartsGoOn(t *testing.T) {
	life := newLifeRig(t)
	life.submit(queueShort, "job", step(1000, 2))
	var running, underWay []dispatch.StartOrder
	longest := 0
	for range 200 {
		for _, o := range running {
			life.end(o, runner.EndDone)
		}
		life.poll() // the starts of the last tick aren't answered yet
		longest = max(longest, len(life.ends))
		for _, o := range underWay {
			life.start(o)
		}
		running, underWay = underWay, life.state.PlanAtMost(life.now, 4).Starts
	}
	if life.lastEnd < 200 {
		t.Errorf("%d runs ended in 20 s, want more", life.lastEnd)
	}
	// The users ask that ends are acknowledged within 4 s.
	if atMost := int(4 * time.Second / testTick * 8); longest > atMost {
		t.Errorf("%d ends weren't acknowledged, want at most %d", longest, atMost)
	}
}

// TestStartsGoOnOnceEndsWereDelivered guards against a worker that gets no starts any more: an
// earlier renewal had acknowledged its ends while a later one had to withhold that.
func TestStartsGoOnOnceEndsWereDelivered(t *testing.T) {
	life := newLifeRig(t)
	life.submit(queueShort, "job", step(1, 2))
	for _, o := range life.startAll() {
		life.end(o, runner.EndDone)
	}
	life.poll()
	_, acknowledging, _ := life.state.Renewal(life.now, worker(0), testLease)
	life.submit(queueShort, "next", step(1, 2))
	starts := life.state.Plan(life.now).Starts
	if _, o, _ := life.state.Renewal(life.now, worker(0), testLease); acknowledging.Acknowledged != 1 || o.Acknowledged != 0 {
		t.Fatalf("ends up to %d and %d are acknowledged, want 1 and 0", acknowledging.Acknowledged, o.Acknowledged)
	}
	life.state.HandleReport(life.now, worker(0), acknowledging, life.answer(runner.Done), life.renew(acknowledging))
	for _, o := range starts {
		life.start(o)
	}
	life.advance(5 * time.Second)
	life.submit(queueShort, "last", step(1, 2))
	if len(life.state.Plan(life.now).Starts) != 1 {
		t.Error("nothing starts before the next poll, want one start")
	}
}
