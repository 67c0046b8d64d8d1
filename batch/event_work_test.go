package batch

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/forecast"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/settings"
)

// eventWork returns the work of the event "opening" and fails if there is any
// other.
func (r *rig) eventWork(n *node) EventWork {
	r.t.Helper()
	work, ok := n.EventWork(context.Background())
	if !ok || len(work) != 1 || work[0].Event != "opening" {
		r.t.Fatalf("event work %+v, want one start of opening", work)
	}
	return work[0]
}

// TestEventWork checks that the forecast uses learned run times instead of
// declared ones, and that the outcome is available after the event's start and
// from a new owner.
func TestEventWork(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		r.useRealPlanner(ctx, &done)
		opening := time.Now().Add(5 * time.Minute).Truncate(time.Second)
		policy := placement.Options{
			Colocation: settings.Default().Colocation,
			Events:     map[string]settings.Event{"opening": {Start: opening.Format(time.RFC3339)}},
		}
		n := r.node("a")
		r.own(n)
		n.SetPolicy(settings.Default().Batch, policy)
		r.advanceTime(2 * time.Second)
		for i := range 12 {
			s := spec(fmt.Sprint("before-", i), 5*time.Second)
			s.Class = "slow"
			r.submit(n, s)
		}
		r.advanceTime(2 * time.Minute)
		due := func(id string, run time.Duration) {
			s := spec(id, run)
			s.Class, s.Event = "slow", "opening"
			r.submit(n, s)
		}
		due("in-time", 10*time.Second)
		r.advanceTime(5 * time.Second)
		if w := r.eventWork(n); w.Verdict != forecast.WillMeet || w.Remaining() != 1 {
			t.Errorf("one short job: %+v", w)
		}
		due("late", 90*time.Second)
		r.advanceTime(5 * time.Second)
		if w := r.eventWork(n); w.Verdict != forecast.AtRisk || !strings.Contains(w.Reason, "late needs") {
			t.Errorf("a job that declares 90 s and takes 270 s, with 168 s until the event: %+v", w)
		}
		r.advanceTime(6 * time.Minute)
		b := r.node("b")
		n.kill()
		r.own(b)
		b.SetPolicy(settings.Default().Batch, policy)
		r.advanceTime(5 * time.Second)
		if w := r.eventWork(b); w.Jobs != 2 || w.Done != 2 || w.Late != 1 || w.StartUnixMS != opening.UnixMilli() {
			t.Errorf("after the event's start, from a new owner: %+v", w)
		}
		stop()
		done.Wait()
	})
}
