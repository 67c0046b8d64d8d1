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

// eventWork expects one start with work of the event "opening".
func (r *rig) eventWork(n *node) EventWork {
	r.t.Helper()
	work, ok := n.EventWork(context.Background())
	if !ok || len(work) != 1 || work[0].Event != "opening" {
		r.t.Fatalf("work %+v", work)
	}
	return work[0]
}

// TestEventWork has jobs that take three times as long as they declare due by
// one start: first too little time by what was learned, then records of the
// outcome that outlive the start and the owner.
func TestEventWork(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		r.real(ctx, &done)
		opening := time.Now().Add(5 * time.Minute).Truncate(time.Second)
		policy := placement.Options{
			Colocation: settings.Default().Colocation,
			Events:     map[string]settings.Event{"opening": {Start: opening.Format(time.RFC3339)}},
		}
		n := r.node("a")
		r.own(n)
		n.SetPolicy(settings.Default().Batch, policy)
		r.settle(2 * time.Second)
		for i := range 12 {
			s := spec(fmt.Sprint("before-", i), 5*time.Second)
			s.Class = "slow"
			r.submit(n, s)
		}
		r.settle(2 * time.Minute)
		due := func(id string, run time.Duration) {
			s := spec(id, run)
			s.Class, s.Event = "slow", "opening"
			r.submit(n, s)
		}
		due("in-time", 10*time.Second)
		r.settle(5 * time.Second)
		if w := r.eventWork(n); w.Verdict != forecast.WillMeet || w.Remaining() != 1 {
			t.Errorf("one short job: %+v", w)
		}
		due("late", 90*time.Second)
		r.settle(5 * time.Second)
		if w := r.eventWork(n); w.Verdict != forecast.AtRisk || !strings.Contains(w.Reason, "late needs") {
			t.Errorf("a job that declares 90 s with 168 s left, and takes 270 s: %+v", w)
		}
		r.settle(6 * time.Minute)
		b := r.node("b")
		n.kill()
		r.own(b)
		b.SetPolicy(settings.Default().Batch, policy)
		r.settle(5 * time.Second)
		if w := r.eventWork(b); w.Jobs != 2 || w.Done != 2 || w.Late != 1 || w.StartUnixMS != opening.UnixMilli() {
			t.Errorf("after the start, under another owner: %+v", w)
		}
		stop()
		done.Wait()
	})
}
