package standstill

import (
	"testing"
	"time"
)

// TestWithin beats, misses beats twice, and asks how much of a time was lost.
func TestWithin(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	var w Detector
	if got := w.PausedWithin(at(0), at(5000)); got != 0 {
		t.Errorf("%v lost before the first beat, want none", got)
	}
	for _, beat := range []struct {
		at   int
		lost time.Duration
	}{
		{0, 0},
		{50, 0},
		{299, 0}, // late, no standstill
		{1299, time.Second},
		{1349, 0},
		{1749, 400 * time.Millisecond},
	} {
		if got := w.Tick(at(beat.at)); got != beat.lost {
			t.Errorf("beat at %d ms: %v lost, want %v", beat.at, got, beat.lost)
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
		{1749, 1998, 0},                       // no beat for 249 ms
		{1749, 2749, time.Second},             // none yet ends this one
		{1000, 2249, (299 + 400 + 500) * 1e6}, // both, and the one under way
	} {
		if got := w.PausedWithin(at(one.from), at(one.now)); got != one.want {
			t.Errorf("from %d to %d ms: %v lost, want %v", one.from, one.now, got, one.want)
		}
	}
}

// TestLongest tells the longest spell from their sum.
func TestLongest(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	var w Detector
	for _, ms := range []int{0, 1000, 1050, 1450, 1500} {
		w.Tick(at(ms))
	}
	if sum, longest := w.PausedWithin(at(0), at(1500)), w.LongestWithin(at(0), at(1500)); sum != 1400*time.Millisecond || longest != time.Second {
		t.Errorf("sum %v, longest %v; want 1.4s and 1s", sum, longest)
	}
	if longest := w.LongestWithin(at(1000), at(3500)); longest != 2*time.Second {
		t.Errorf("longest %v while no beat ends it, want 2s", longest)
	}
}

// TestSpellsAreBounded checks that old spells are forgotten.
func TestSpellsAreBounded(t *testing.T) {
	var w Detector
	start := time.Unix(100, 0)
	for i := range 10 * kept {
		w.Tick(start.Add(time.Duration(i) * time.Second))
	}
	if len(w.spells) != kept {
		t.Errorf("%d spells are kept, want %d", len(w.spells), kept)
	}
}
