package burn

import (
	"math"
	"testing"
	"time"
)

// TestEvaluateByHand checks a case worked out by hand: 1,000 calls a minute
// for two hours on two hosts, of which one is bad by 2% in the last hour. With
// a target of 99% the hour burns 1% / 1% = 1 over both hosts, five minutes the
// same, and six hours (two of them counted) 0.5.
func TestEvaluateByHand(t *testing.T) {
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
	sheets := append(a.Flush(now, false), b.Flush(now, true)...)
	r := Evaluate(Objective{Name: "gate", Service: "dispatch", Target: 0.99}, sheets, now, 2*time.Minute)
	wantBurn := []float64{1, 1, 0.5, 0.5}
	wantTotal := []int64{5 * 2000, 60 * 2000, 120 * 2000, 120 * 2000}
	for i, w := range r.Windows {
		if math.Abs(w.Burn-wantBurn[i]) > 1e-9 || w.Total != wantTotal[i] {
			t.Errorf("window %s: burn %.3f of %d calls, want %.3f of %d", w.Length, w.Burn, w.Total, wantBurn[i], wantTotal[i])
		}
	}
	if want := 119*time.Minute + 59*time.Second; r.Windows[2].Covered != want {
		t.Errorf("six hours covered %s, want %s", r.Windows[2].Covered, want)
	}
	first, last := r.History[len(r.History)-24], r.History[len(r.History)-1]
	if want := (Point{Start: start, Good: 10_000, Total: 10_000}); !first.Start.Equal(want.Start) || first.Good != want.Good || first.Total != want.Total {
		t.Errorf("history two hours ago %+v, want %+v", first, want)
	}
	if last.Good != 5*1980 || last.Total != 10_000 || r.History[len(r.History)-25].Total != 0 {
		t.Errorf("history ends with %+v", last)
	}
	if r.Alert != NoAlert {
		t.Errorf("alert %s, want none", r.Alert)
	}
}

func TestUnseenHostIsNamed(t *testing.T) {
	start := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	dead, stopped := NewRecorder("dead"), NewRecorder("stopped")
	dead.Add(start, "gate", 1, 1)
	stopped.Add(start, "gate", 1, 1)
	sheets := append(dead.Flush(start, false), stopped.Flush(start, true)...)
	r := Evaluate(Objective{Name: "gate", Target: 0.9}, sheets, start.Add(10*time.Minute), time.Minute)
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
