package processpause

import (
	"testing"
	"time"
)

// TestPausedWithin checks the pause time within intervals, after two pauses
// and during a third.
func TestPausedWithin(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	var w Detector
	if got := w.PausedWithin(at(0), at(5000)); got != 0 {
		t.Errorf("paused for %v before the first tick, want 0", got)
	}
	for _, tick := range []struct {
		at     int
		paused time.Duration
	}{
		{0, 0},
		{50, 0},
		{299, 0}, // late, but shorter than MinPause
		{1299, time.Second},
		{1349, 0},
		{1749, 400 * time.Millisecond},
	} {
		if got := w.Tick(at(tick.at)); got != tick.paused {
			t.Errorf("tick at %d ms: paused for %v, want %v", tick.at, got, tick.paused)
		}
	}
	for _, one := range []struct {
		from, now int
		want      time.Duration
	}{
		{0, 1749, 1400 * time.Millisecond},
		{0, 299, 0},
		{799, 1749, 900 * time.Millisecond},
		{1300, 1340, 0},
		{1400, 1449, 49 * time.Millisecond},
		{1749, 1998, 0},                       // no tick for 249 ms
		{1749, 2749, time.Second},             // pause in progress
		{1000, 2249, (299 + 400 + 500) * 1e6}, // two pauses and the one in progress
	} {
		if got := w.PausedWithin(at(one.from), at(one.now)); got != one.want {
			t.Errorf("from %d to %d ms: paused for %v, want %v", one.from, one.now, got, one.want)
		}
	}
}

// TestResumedAt checks the end of the last pause, before any, after one, and during
// the next.
func TestResumedAt(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	var w Detector
	w.Tick(at(0))
	if got := w.ResumedAt(at(50)); !got.IsZero() {
		t.Errorf("resumed at %v without a pause, want the zero time", got)
	}
	w.Tick(at(1000))
	w.Tick(at(1050))
	if got := w.ResumedAt(at(1100)); !got.Equal(at(1000)) {
		t.Errorf("resumed at %v after a pause, want its end %v", got, at(1000))
	}
	if got := w.ResumedAt(at(2000)); !got.Equal(at(2000)) {
		t.Errorf("resumed at %v while no tick has ended the pause, want now", got)
	}
}

// TestLongestWithin checks that the longest pause is distinguished from the
// sum of pauses.
func TestLongestWithin(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	var w Detector
	for _, ms := range []int{0, 1000, 1050, 1450, 1500} {
		w.Tick(at(ms))
	}
	if sum, longest := w.PausedWithin(at(0), at(1500)), w.LongestWithin(at(0), at(1500)); sum != 1400*time.Millisecond || longest != time.Second {
		t.Errorf("paused for %v, longest pause %v; want 1.4s and 1s", sum, longest)
	}
	if longest := w.LongestWithin(at(1000), at(3500)); longest != 2*time.Second {
		t.Errorf("longest pause %v with one in progress, want 2s", longest)
	}
}

// TestSpansAreBounded checks that old pauses are dropped.
func TestSpansAreBounded(t *testing.T) {
	var w Detector
	start := time.Unix(100, 0)
	for i := range 10 * maxSpans {
		w.Tick(start.Add(time.Duration(i) * time.Second))
	}
	if len(w.spans) != maxSpans {
		t.Errorf("%d pauses recorded, want %d", len(w.spans), maxSpans)
	}
}
