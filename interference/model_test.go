package interference

import (
	"math"
	"math/rand/v2"
	"testing"
)

// world is a hidden truth: what each batch class adds, and noise.
type world struct {
	hurts map[string]float64
	noise float64
	rng   *rand.Rand
}

func (w world) latency(load Load) float64 {
	log := -0.6 + 0.3*load.OwnUtilization
	for _, s := range load.Batch {
		log += w.hurts[s.Class] * s.CPUShare
	}
	return 100 * math.Exp(log+w.noise*w.rng.NormFloat64())
}

func (w world) randomLoad() Load {
	load := Load{OwnUtilization: w.rng.Float64()}
	for class := range 4 {
		if w.rng.IntN(2) == 0 {
			name := string(rune('a' + class))
			load.Batch = append(load.Batch, Share{Class: name, CPUShare: 0.4 * w.rng.Float64()})
		}
	}
	return load
}

func newWorld(seed uint64) world {
	return world{
		hurts: map[string]float64{"a": 2.5, "b": 0, "c": 0.3, "d": 1.2},
		noise: 0.15,
		rng:   rand.New(rand.NewPCG(seed, 0)),
	}
}

// TestLearnsWhoHurts checks that estimates come near a hidden truth and that
// the deviation told covers the error.
func TestLearnsWhoHurts(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed)
		m := NewModel(map[string]float64{"dispatch": 100}, DefaultMargin)
		for range 800 {
			load := w.randomLoad()
			m.Learn("dispatch", load, w.latency(load))
		}
		for class, want := range w.hurts {
			mean, deviation := m.Effect("dispatch", class, 1)
			if got := math.Abs(mean - want); got > 0.4 || got > 4*deviation {
				t.Errorf("seed %d: %s adds %.2f±%.2f, in truth %.2f", seed, class, mean, deviation, want)
			}
			if m.Uncertain("dispatch", class) {
				t.Errorf("seed %d: %s still uncertain after 800 reports", seed, class)
			}
		}
	}
}

func TestUnknownPairCountsAsUncertain(t *testing.T) {
	m := NewModel(map[string]float64{"dispatch": 100}, DefaultMargin)
	quiet := Load{}
	beside := Load{Batch: []Share{{Class: "new", CPUShare: 0.5}}}
	if !m.Uncertain("dispatch", "new") {
		t.Error("a pair never seen counts as learned")
	}
	if m.Excess("dispatch", beside) <= m.Excess("dispatch", quiet) {
		t.Error("an unknown neighbour is expected to do no harm")
	}
	for range 500 {
		m.Learn("dispatch", Load{Batch: []Share{{Class: "old", CPUShare: 0.5}}}, 50)
	}
	old := Load{Batch: []Share{{Class: "old", CPUShare: 0.5}}}
	if m.Excess("dispatch", beside) <= m.Excess("dispatch", old)+0.1 {
		t.Error("an unknown neighbour is expected to harm no more than a harmless one")
	}
	if m.Excess("other", beside) != 0 {
		t.Error("a class without an objective is harmed")
	}
}

func TestFollowsAChange(t *testing.T) {
	w := newWorld(1)
	m := NewModel(map[string]float64{"dispatch": 100}, DefaultMargin)
	for _, hurts := range []float64{2.5, 0, 2.5} {
		w.hurts["a"] = hurts
		for range 4000 {
			load := w.randomLoad()
			m.Learn("dispatch", load, w.latency(load))
		}
		if mean, _ := m.Effect("dispatch", "a", 1); math.Abs(mean-hurts) > 0.5 {
			t.Errorf("a adds %.2f, in truth %.2f now", mean, hurts)
		}
	}
}

func TestPairsAreBounded(t *testing.T) {
	m := NewModel(map[string]float64{"dispatch": 100}, DefaultMargin)
	for i := range 10 * maxPairs {
		m.Learn("dispatch", Load{Batch: []Share{{Class: string(rune(0x100 + i)), CPUShare: 0.2}}}, 80)
	}
	if got := len(m.services["dispatch"].pairs); got != maxPairs {
		t.Errorf("%d pairs kept, want %d", got, maxPairs)
	}
}
