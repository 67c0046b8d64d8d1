package eviction

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	epoch    = time.Unix(1_800_000_000, 0)
	testOpts = Options{Lag: 5 * time.Second, EvictAfter: 15 * time.Second, ThrottlePercent: 50}
)

// simulatedHost is a host whose reported latency follows its tasks with a lag.
type simulatedHost struct {
	monitor    *HostMonitor
	candidates []Candidate
	base       float64
	levels     []float64
	counts     map[Kind]int
}

func newSimulatedHost(base float64, effects ...float64) *simulatedHost {
	h := &simulatedHost{monitor: NewHostMonitor(testOpts), base: base, counts: map[Kind]int{}}
	for i, b := range effects {
		h.candidates = append(h.candidates, Candidate{Job: fmt.Sprint(i), CPULimit: 100, Effect: b, Deviation: 0.01})
	}
	return h
}

// step advances the simulation by one second; noise is added to the logarithm
// of the latency.
func (h *simulatedHost) step(at int, noise float64) []Decision {
	level := h.base + noise
	for _, c := range h.candidates {
		level += c.Effect * float64(c.CPULimit) / 100
	}
	h.levels = append(h.levels, level)
	lagged := h.levels[max(0, at-int(testOpts.Lag/time.Second))]
	now := epoch.Add(time.Duration(at) * time.Second)
	h.monitor.Observe(now, math.Exp(lagged))
	decisions := h.monitor.Decide(now, h.candidates, 10, true)
	for _, d := range decisions {
		h.counts[d.Kind]++
		h.apply(d)
	}
	return decisions
}

func (h *simulatedHost) apply(d Decision) {
	for i, c := range h.candidates {
		if c.Job != d.Job {
			continue
		}
		if d.Kind == Evict {
			h.candidates = append(h.candidates[:i], h.candidates[i+1:]...)
			return
		}
		h.candidates[i].CPULimit = d.CPULimit
		return
	}
}

func TestDecisions(t *testing.T) {
	tests := []struct {
		name                          string
		base                          float64
		effects                       []float64
		throttles, unthrottles, evict int
	}{
		{"calm host is left alone", -0.5, []float64{0.1, 0.2}, 0, 0, 0},
		{"latency due to own load", 0.5, []float64{0, 0.001}, 0, 0, 0},
		{"throttle of the largest effect is enough", -0.3, []float64{0.01, 0.5}, 1, 0, 0},
		{"throttle is not enough", -0.1, []float64{0.01, 0.8}, 1, 0, 1},
		{"two large effects are throttled together", -0.5, []float64{0.4, 0.4, 0.01}, 2, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newSimulatedHost(tt.base, tt.effects...)
			for at := range 120 {
				h.step(at, 0)
			}
			want := map[Kind]int{Throttle: tt.throttles, Unthrottle: tt.unthrottles, Evict: tt.evict}
			for kind, n := range want {
				if h.counts[kind] != n {
					t.Errorf("kind %d: %d decisions, want %d", kind, h.counts[kind], n)
				}
			}
		})
	}
}

func TestNoDecisionWithinLag(t *testing.T) {
	h := newSimulatedHost(0.5, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1)
	last := -1
	for at := range 30 {
		if len(h.step(at, 0)) > 0 {
			if last >= 0 && at-last < 10 {
				t.Fatalf("decisions at %d s and %d s, want at least 10 s between them", last, at)
			}
			last = at
		}
	}
	if last < 5 {
		t.Fatalf("last decision at %d s, want one after the lag of 5 s", last)
	}
}

func TestNoDecisionOnStaleReports(t *testing.T) {
	m := NewHostMonitor(testOpts)
	candidates := []Candidate{{Job: "j", CPULimit: 100, Effect: 0.5}}
	for at := range 10 {
		m.Observe(epoch.Add(time.Duration(at)*time.Second), 2)
	}
	if got := m.Decide(epoch.Add(40*time.Second), candidates, 10, true); len(got) > 0 {
		t.Errorf("decisions %v on a report of 31 s ago, want none", got)
	}
	if got := m.Decide(epoch.Add(20*time.Second), candidates, 10, true); len(got) != 1 {
		t.Errorf("decisions %v on a report of 11 s ago, want one", got)
	}
}

func TestVictimHasLeastLossPerEffect(t *testing.T) {
	candidates := []Candidate{
		{Job: "little work, no effect", CPULimit: 100, Effect: 0.01},
		{Job: "least work, small effect", CPULimit: 100, Effect: 0.05},
		{Job: "much work, large effect", CPULimit: 100, Effect: 0.5, LostMS: 3_600_000},
		{Job: "little work, large effect", CPULimit: 100, Effect: 0.4, LostMS: 10_000},
		{Job: "protected", CPULimit: 100, Effect: 0.9, Protected: true},
	}
	if victim, found := chooseVictim(candidates, 0.5); !found || victim.Job != "little work, large effect" {
		t.Errorf("victim %q, want the large effect with little work", victim.Job)
	}
	if victim, found := chooseVictim(candidates[:1], 0.5); found {
		t.Errorf("%q evicted without an effect on the latency", victim.Job)
	}
}

// TestUnthrottlesAreBounded checks that throttles aren't removed and set again
// continually on hosts near their objective with noise and a varying load.
func TestUnthrottlesAreBounded(t *testing.T) {
	const hours = 2
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 0))
		h := newSimulatedHost(-0.5+0.4*rng.Float64(), 0.3*rng.Float64(), 0.6*rng.Float64(), 0.05)
		for i := range h.candidates {
			h.candidates[i].Protected = true
		}
		for at := range hours * 3600 {
			wave := 0.2 * math.Sin(float64(at)/120)
			h.step(at, wave+0.1*rng.NormFloat64())
		}
		// Waits double from 15 s to 480 s, with at most one unthrottle per
		// wait.
		if most := hours*3600/480 + 3*maxBackoff; h.counts[Unthrottle] > most {
			t.Errorf("seed %d: %d unthrottles in %d hours, want at most %d", seed, h.counts[Unthrottle], hours, most)
		}
	}
}

func TestUnthrottleWhenCalm(t *testing.T) {
	h := newSimulatedHost(-0.3, 0.5)
	for at := range 300 {
		if at == 60 {
			h.base = -1.5
		}
		h.step(at, 0)
	}
	if h.counts[Unthrottle] != 1 || h.candidates[0].CPULimit != 100 {
		t.Errorf("%d unthrottles and a CPU limit of %d%%, want 1 and 100%%", h.counts[Unthrottle], h.candidates[0].CPULimit)
	}
}

func TestBudgetBoundsEveryMinute(t *testing.T) {
	b := NewBudget(3)
	var taken []int
	for second := range 600 {
		if b.Take(epoch.Add(time.Duration(second) * time.Second)) {
			taken = append(taken, second)
		}
	}
	for i := 3; i < len(taken); i++ {
		if taken[i]-taken[i-3] < 60 {
			t.Fatalf("4 evictions within %d s, want at most 3 per minute", taken[i]-taken[i-3])
		}
	}
	if len(taken) != 30 {
		t.Errorf("%d evictions in 10 minutes, want 30", len(taken))
	}
}
