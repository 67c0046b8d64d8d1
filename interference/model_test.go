package interference

import (
	"math"
	"math/rand/v2"
	"testing"
)

// simulation draws latencies from true effects of batch classes, with noise.
type simulation struct {
	effect map[string]float64
	noise  float64
	rng    *rand.Rand
}

func (sim simulation) latency(load Load) float64 {
	log := -0.6 + 0.3*load.OwnUtilization
	for _, s := range load.Batch {
		log += sim.effect[s.Class] * s.CPUShare
	}
	return 100 * math.Exp(log+sim.noise*sim.rng.NormFloat64())
}

func (sim simulation) randomLoad() Load {
	load := Load{OwnUtilization: sim.rng.Float64()}
	for class := range 4 {
		if sim.rng.IntN(2) == 0 {
			name := string(rune('a' + class))
			load.Batch = append(load.Batch, Share{Class: name, CPUShare: 0.4 * sim.rng.Float64()})
		}
	}
	return load
}

func newSimulation(seed uint64) simulation {
	return simulation{
		effect: map[string]float64{"a": 2.5, "b": 0, "c": 0.3, "d": 1.2},
		noise:  0.15,
		rng:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// TestLearnsEffects checks that estimates are close to the true effects and
// that their deviations cover the error.
func TestLearnsEffects(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(seed)
		m := NewModel(map[string]float64{"dispatch": 100}, DefaultMargin)
		for range 800 {
			load := sim.randomLoad()
			m.Learn("dispatch", load, sim.latency(load))
		}
		for class, want := range sim.effect {
			mean, deviation := m.Effect("dispatch", class, 1)
			if got := math.Abs(mean - want); got > 0.4 || got > 4*deviation {
				t.Errorf("seed %d: effect of %s %.2f±%.2f, want %.2f", seed, class, mean, deviation, want)
			}
			if m.Uncertain("dispatch", class) {
				t.Errorf("seed %d: %s is uncertain after 800 reports", seed, class)
			}
		}
	}
}

func TestUnknownPairIsUncertain(t *testing.T) {
	m := NewModel(map[string]float64{"dispatch": 100}, DefaultMargin)
	idle := Load{}
	loaded := Load{Batch: []Share{{Class: "new", CPUShare: 0.5}}}
	if !m.Uncertain("dispatch", "new") {
		t.Error("a pair without reports isn't uncertain")
	}
	if m.Excess("dispatch", loaded) <= m.Excess("dispatch", idle) {
		t.Error("an unknown batch class has no expected excess")
	}
	for range 500 {
		m.Learn("dispatch", Load{Batch: []Share{{Class: "old", CPUShare: 0.5}}}, 50)
	}
	old := Load{Batch: []Share{{Class: "old", CPUShare: 0.5}}}
	if m.Excess("dispatch", loaded) <= m.Excess("dispatch", old)+0.1 {
		t.Error("the expected excess of an unknown batch class is no larger than that of one without an effect")
	}
	if m.Excess("other", loaded) != 0 {
		t.Error("a class without an objective has an excess")
	}
}

func TestFollowsChangedEffect(t *testing.T) {
	sim := newSimulation(1)
	m := NewModel(map[string]float64{"dispatch": 100}, DefaultMargin)
	for _, effect := range []float64{2.5, 0, 2.5} {
		sim.effect["a"] = effect
		for range 4000 {
			load := sim.randomLoad()
			m.Learn("dispatch", load, sim.latency(load))
		}
		if mean, _ := m.Effect("dispatch", "a", 1); math.Abs(mean-effect) > 0.5 {
			t.Errorf("effect of a %.2f after the change, want %.2f", mean, effect)
		}
	}
}

func TestPairsAreBounded(t *testing.T) {
	m := NewModel(map[string]float64{"dispatch": 100}, DefaultMargin)
	for i := range 10 * maxPairs {
		m.Learn("dispatch", Load{Batch: []Share{{Class: string(rune(0x100 + i)), CPUShare: 0.2}}}, 80)
	}
	if got := len(m.classes["dispatch"].pairs); got != maxPairs {
		t.Errorf("%d pairs kept, want %d", got, maxPairs)
	}
}
