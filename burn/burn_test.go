package burn

import (
	"math"
	"testing"
	"time"
)

// TestEvaluate checks two hours of 1,000 calls per minute on two hosts, one of
// which has 2% bad calls in the second hour. With a target of 99% the burn is
// 1 over the last hour and the last five minutes, and 0.5 over six hours.
func TestEvaluate(t *testing.T) {
	start := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	a, b := NewRecorder("a"), NewRecorder("b")
	for m := range 120 {
		at := start.Add(time.Duration(m) * time.Minute)
		a.Add(at, "gate", 1000, 1000)
		good := int64(1000)
		if m >= 60 {
			good = 980
		}
		b.Add(at, "gate", good, 1000)
	}
	now := start.Add(119*time.Minute + 59*time.Second)
	counts := append(a.Flush(now, false), b.Flush(now, true)...)
	r := Evaluate(Objective{Name: "gate", Service: "dispatch", Target: 0.99}, counts, now, 2*time.Minute)
	wantBurn := []float64{1, 1, 0.5, 0.5}
	wantTotal := []int64{5 * 2000, 60 * 2000, 120 * 2000, 120 * 2000}
	for i, w := range r.Windows {
		if math.Abs(w.Burn-wantBurn[i]) > 1e-9 || w.Total != wantTotal[i] {
			t.Errorf("window %s: burn %.3f over %d calls, want %.3f over %d", w.Length, w.Burn, w.Total, wantBurn[i], wantTotal[i])
		}
	}
	if want := 119*time.Minute + 59*time.Second; r.Windows[2].Covered != want {
		t.Errorf("six-hour window covers %s, want %s", r.Windows[2].Covered, want)
	}
	first, last := r.History[len(r.History)-24], r.History[len(r.History)-1]
	if want := (Point{Start: start, Good: 10_000, Total: 10_000}); !first.Start.Equal(want.Start) || first.Good != want.Good || first.Total != want.Total {
		t.Errorf("first step of the calls: %+v, want %+v", first, want)
	}
	if last.Good != 5*1980 || last.Total != 10_000 || r.History[len(r.History)-25].Total != 0 {
		t.Errorf("unexpected last step %+v or calls before the first step", last)
	}
	if r.Alert != NoAlert {
		t.Errorf("alert %s, want none", r.Alert)
	}
}

func TestUnseenHostIsReported(t *testing.T) {
	start := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	dead, stopped := NewRecorder("dead"), NewRecorder("stopped")
	dead.Add(start, "gate", 1, 1)
	stopped.Add(start, "gate", 1, 1)
	counts := append(dead.Flush(start, false), stopped.Flush(start, true)...)
	r := Evaluate(Objective{Name: "gate", Target: 0.9}, counts, start.Add(10*time.Minute), time.Minute)
	if len(r.Unseen) != 1 || r.Unseen[0] != "dead" {
		t.Fatalf("unseen %v, want [dead]", r.Unseen)
	}
}

func TestFastBurnPages(t *testing.T) {
	now := time.Date(2026, 12, 2, 10, 30, 0, 0, time.UTC)
	r := NewRecorder("a")
	r.Add(now.Add(-20*time.Minute), "gate", 80, 100)
	r.Add(now, "gate", 80, 100)
	got := Evaluate(Objective{Name: "gate", Target: 0.99}, r.Flush(now, false), now, time.Minute)
	if got.Alert != Page {
		t.Fatalf("alert %s at burn %.1f, want page", got.Alert, got.Windows[0].Burn)
	}
}
