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

// hostFake is a host whose latency follows its tasks with a lag.
type hostFake struct {
	watch    *HostMonitor
	suspects []Candidate
	base     float64
	log      []float64
	kinds    map[Kind]int
}

func newHostFake(base float64, blames ...float64) *hostFake {
	f := &hostFake{watch: NewHostMonitor(testOpts), base: base, kinds: map[Kind]int{}}
	for i, b := range blames {
		f.suspects = append(f.suspects, Candidate{Job: fmt.Sprint(i), CPULimit: 100, Effect: b, Deviation: 0.01})
	}
	return f
}

// second lets one second pass; noise is added to the logarithm.
func (f *hostFake) second(at int, noise float64) []Decision {
	level := f.base + noise
	for _, s := range f.suspects {
		level += s.Effect * float64(s.CPULimit) / 100
	}
	f.log = append(f.log, level)
	lagged := f.log[max(0, at-int(testOpts.Lag/time.Second))]
	now := epoch.Add(time.Duration(at) * time.Second)
	f.watch.Observe(now, math.Exp(lagged))
	decisions := f.watch.Decide(now, f.suspects, 10, true)
	for _, d := range decisions {
		f.kinds[d.Kind]++
		f.apply(d)
	}
	return decisions
}

func (f *hostFake) apply(d Decision) {
	for i, s := range f.suspects {
		if s.Job != d.Job {
			continue
		}
		if d.Kind == Evict {
			f.suspects = append(f.suspects[:i], f.suspects[i+1:]...)
			return
		}
		f.suspects[i].CPULimit = d.CPULimit
		return
	}
}

func TestSteps(t *testing.T) {
	tests := []struct {
		name                    string
		base                    float64
		blames                  []float64
		throttles, lifts, evict int
	}{
		{"calm host is let be", -0.5, []float64{0.1, 0.2}, 0, 0, 0},
		{"own load is blamed on nobody", 0.5, []float64{0, 0.001}, 0, 0, 0},
		{"throttle of the culprit is enough", -0.3, []float64{0.01, 0.5}, 1, 0, 0},
		{"throttle is not enough", -0.1, []float64{0.01, 0.8}, 1, 0, 1},
		{"two culprits throttled together", -0.5, []float64{0.4, 0.4, 0.01}, 2, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newHostFake(tt.base, tt.blames...)
			for at := range 120 {
				f.second(at, 0)
			}
			want := map[Kind]int{Throttle: tt.throttles, Unthrottle: tt.lifts, Evict: tt.evict}
			for kind, n := range want {
				if f.kinds[kind] != n {
					t.Errorf("kind %d decided %d times, want %d", kind, f.kinds[kind], n)
				}
			}
		})
	}
}

func TestNothingIsDecidedWithinTheLag(t *testing.T) {
	f := newHostFake(0.5, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1)
	first := -1
	for at := range 30 {
		if len(f.second(at, 0)) > 0 {
			if first >= 0 && at-first < 10 {
				t.Fatalf("decided at %d s and again at %d s", first, at)
			}
			first = at
		}
	}
	if first < 5 {
		t.Fatalf("last decision at %d s", first)
	}
}

func TestNothingIsDecidedOnStaleReports(t *testing.T) {
	w := NewHostMonitor(testOpts)
	culprit := []Candidate{{Job: "j", CPULimit: 100, Effect: 0.5}}
	for at := range 10 {
		w.Observe(epoch.Add(time.Duration(at)*time.Second), 2)
	}
	if got := w.Decide(epoch.Add(40*time.Second), culprit, 10, true); len(got) > 0 {
		t.Errorf("decided %v on a report of 31 s ago", got)
	}
	if got := w.Decide(epoch.Add(20*time.Second), culprit, 10, true); len(got) != 1 {
		t.Errorf("decided %v on a report of 11 s ago", got)
	}
}

func TestVictimIsLeastLossPerHarm(t *testing.T) {
	suspects := []Candidate{
		{Job: "young and harmless", CPULimit: 100, Effect: 0.01},
		{Job: "youngest, little harm", CPULimit: 100, Effect: 0.05},
		{Job: "old culprit", CPULimit: 100, Effect: 0.5, LostMS: 3_600_000},
		{Job: "young culprit", CPULimit: 100, Effect: 0.4, LostMS: 10_000},
		{Job: "protected", CPULimit: 100, Effect: 0.9, Protected: true},
	}
	if victim, found := chooseVictim(suspects, 0.5); !found || victim.Job != "young culprit" {
		t.Errorf("victim is %q", victim.Job)
	}
	if victim, found := chooseVictim(suspects[:1], 0.5); found {
		t.Errorf("%q evicted without harm", victim.Job)
	}
}

// TestNeverOscillates runs hosts near their objective with noise and shifting
// load for two hours each and bounds how often throttles are lifted.
func TestNeverOscillates(t *testing.T) {
	const hours = 2
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 0))
		f := newHostFake(-0.5+0.4*rng.Float64(), 0.3*rng.Float64(), 0.6*rng.Float64(), 0.05)
		for i := range f.suspects {
			f.suspects[i].Protected = true
		}
		for at := range hours * 3600 {
			wave := 0.2 * math.Sin(float64(at)/120)
			f.second(at, wave+0.1*rng.NormFloat64())
		}
		// Waits double from 15 s to 480 s: at most one lift a wait.
		if most := hours*3600/480 + 3*maxPatience; f.kinds[Unthrottle] > most {
			t.Errorf("seed %d: %d lifts in %d hours, want at most %d", seed, f.kinds[Unthrottle], hours, most)
		}
	}
}

func TestThrottleIsLiftedWhenCalm(t *testing.T) {
	f := newHostFake(-0.3, 0.5)
	for at := range 300 {
		if at == 60 {
			f.base = -1.5
		}
		f.second(at, 0)
	}
	if f.kinds[Unthrottle] != 1 || f.suspects[0].CPULimit != 100 {
		t.Errorf("%d lifts, %d%%", f.kinds[Unthrottle], f.suspects[0].CPULimit)
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
			t.Fatalf("4 evictions within %d s", taken[i]-taken[i-3])
		}
	}
	if len(taken) != 30 {
		t.Errorf("%d evictions in 10 minutes, want 30", len(taken))
	}
}
