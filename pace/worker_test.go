package pace_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
	"unsafe"

	"github.com/fireflygate/fireflygate/pace"
)

// oneIn33 is the share of runs that take seven times as long.
const oneIn33 = 1.0 / 33

// eachPool runs a test with several seeds, on pools whose workers run few or many tasks.
func eachPool(t *testing.T, test func(t *testing.T, seed uint64, slots int)) {
	for seed := range uint64(3) {
		for _, slots := range []int{3, 10} {
			t.Run(fmt.Sprintf("seed%d,%dslots", seed, slots), func(t *testing.T) { test(t, seed, slots) })
		}
	}
}

// TestQuarterSlow makes a quarter of the workers six times slower for 8 s, among runs of
// which one in 33 takes seven times as long. Most of them must be found within 4 s, two
// reports of each worker, with a factor near 6, and none of the others. Most must be healthy
// again 3 s after the end, and the rest, on which all tasks take long by themselves, once
// these have ended. It fails if slow workers stay unnoticed, or if recovered ones stay unused.
func TestQuarterSlow(t *testing.T) {
	eachPool(t, func(t *testing.T, seed uint64, slots int) {
		const workers, slow = 160, 40
		s := newSim(seed, workers, slots, oneIn33)
		s.run(10 * time.Second)
		s.setFactor(0, slow, 6)
		s.run(4 * time.Second)
		first := s.slow(0, slow)
		if first < slow*7/10 {
			t.Errorf("after 4 s %d of %d slow workers are found", first, slow)
		}
		var factors []float64
		for _, w := range s.workers[:slow] {
			factors = append(factors, w.state.Factor(s.now))
		}
		slices.Sort(factors)
		if f := factors[slow*6/10]; f < 4 || f > 9 {
			t.Errorf("the typical factor is %.1f, want about 6", f)
		}
		s.run(4 * time.Second)
		last := s.slow(0, slow)
		if last < slow*7/10 {
			t.Errorf("after 8 s %d of %d slow workers are found", last, slow)
		}
		s.setFactor(0, slow, 1)
		s.run(3 * time.Second)
		after := s.slow(0, slow)
		if after > slow*2/10 {
			t.Errorf("%d workers count as slow 3 s after their recovery", after)
		}
		s.run(12 * time.Second)
		if n := s.slow(0, slow); n > 0 {
			t.Errorf("%d workers count as slow 15 s after their recovery", n)
		}
		t.Logf("of %d slow workers %d are found after 4 s, %d after 8 s; %d count as slow 3 s after the end", slow, first, last, after)
		for i, n := range s.found {
			if i >= slow {
				t.Errorf("healthy worker %d was found slow %d times", i, n)
			}
		}
	})
}

// TestStragglersAlone runs a large pool for a minute in which one run in 33 takes seven
// times as long. No worker may be found slow because of that.
func TestStragglersAlone(t *testing.T) {
	eachPool(t, func(t *testing.T, seed uint64, slots int) {
		s := newSim(seed, 490, slots, oneIn33)
		s.run(time.Minute)
		if len(s.found) > 0 {
			t.Errorf("%d of %d healthy workers were found slow", len(s.found), len(s.workers))
		}
	})
}

// TestAllSlow slows all workers down at once, each of which reports that at another time.
// None may count as slow, neither in between nor after: no worker is better.
func TestAllSlow(t *testing.T) {
	eachPool(t, func(t *testing.T, seed uint64, slots int) {
		s := newSim(seed, 160, slots, oneIn33)
		s.run(10 * time.Second)
		s.setFactor(0, len(s.workers), 6)
		s.run(10 * time.Second)
		s.setFactor(0, len(s.workers), 1)
		s.run(10 * time.Second)
		if len(s.found) > 0 {
			t.Errorf("%d of %d workers were found slow though all were", len(s.found), len(s.workers))
		}
	})
}

// pool is a pool of workers that are given observations directly.
type pool struct {
	now     time.Time
	workers []*pace.Worker
	judge   pace.Judge
}

func newPool(n int) *pool {
	p := &pool{now: time.Unix(1000, 0)}
	for range n {
		p.workers = append(p.workers, &pace.Worker{})
	}
	return p
}

// step lets all workers but the first report a normal tail, and judges the pool.
func (p *pool) step() {
	p.now = p.now.Add(500 * time.Millisecond)
	for _, w := range p.workers[1:] {
		w.AddTail(p.now, 1, false)
	}
}

func (p *pool) decide() bool {
	p.judge.Decide(p.now, p.workers)
	return p.workers[0].Slow()
}

// TestThreeTailsInARow checks that a worker counts as slow after three slow tails in a
// row, and not if one in between is normal or explained by its neighbours.
func TestThreeTailsInARow(t *testing.T) {
	type tail struct {
		slowdown    float64
		unexplained bool
	}
	slow := tail{6, true}
	for name, c := range map[string]struct {
		tails []tail
		want  bool
	}{
		"three":                      {[]tail{slow, slow, slow}, true},
		"two":                        {[]tail{slow, slow}, false},
		"a normal one in between":    {[]tail{slow, slow, {1, false}, slow, slow}, false},
		"explained by its neighbors": {[]tail{{6, false}, {6, false}, {6, false}, {6, false}}, false},
		"too little":                 {[]tail{{1.7, true}, {1.7, true}, {1.7, true}, {1.7, true}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, got := newPool(8), false
			for _, one := range c.tails {
				p.workers[0].AddTail(p.now.Add(500*time.Millisecond), one.slowdown, one.unexplained)
				p.step()
				got = p.decide()
			}
			if got != c.want {
				t.Errorf("slow: %v, want %v", got, c.want)
			}
		})
	}
}

// TestRunsNeeded checks how many slow runs it takes: one never suffices, two do if both
// were normal before, and normal runs on the worker outweigh single slow ones.
func TestRunsNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		changed, fromStart, normal int
		want                       bool
	}{
		"one that changed":                  {changed: 1},
		"one slow from its start":           {fromStart: 1},
		"two that changed":                  {changed: 2, want: true},
		"three slow from their start":       {fromStart: 3},
		"six slow from their start":         {fromStart: 6},
		"seven slow from their start":       {fromStart: 7, want: true},
		"two that changed among normal":     {changed: 2, normal: 3},
		"one that changed and three others": {changed: 1, fromStart: 3, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(8)
			p.step()
			id := uint16(0)
			add := func(n int, r pace.Run) {
				for range n {
					id++
					r.ID, r.Since = id, p.now.Add(-time.Second)
					p.workers[0].AddRun(p.now, r)
				}
			}
			add(c.normal, pace.Run{Slowdown: 1})
			add(c.changed, pace.Run{Slowdown: 6, Rise: 6})
			add(c.fromStart, pace.Run{Slowdown: 6})
			if p.decide() {
				t.Error("slow before the peers were measured again")
			}
			p.step()
			if got := p.decide(); got != c.want {
				t.Errorf("slow: %v, want %v", got, c.want)
			}
		})
	}
}

// slowPool returns a pool whose first worker counts as slow.
func slowPool(t *testing.T) *pool {
	p := newPool(8)
	for range 3 {
		p.workers[0].AddTail(p.now.Add(500*time.Millisecond), 6, true)
		p.step()
		p.decide()
	}
	if !p.workers[0].Slow() {
		t.Fatal("the worker isn't slow after three slow tails")
	}
	return p
}

// TestDecay checks that a worker without new evidence, as one that all tasks have left,
// counts as healthy within seconds, and that its factor falls all the time.
func TestDecay(t *testing.T) {
	p := slowPool(t)
	last := math.Inf(1)
	for range 16 {
		p.step()
		p.decide()
		f := p.workers[0].Factor(p.now)
		if f > last {
			t.Errorf("factor rose from %v to %v without evidence", last, f)
		}
		last = f
	}
	if p.workers[0].Slow() || last != 1 {
		t.Errorf("after 8 s without evidence: slow %v, factor %v", p.workers[0].Slow(), last)
	}
}

// TestRecovery checks that a worker is healthy at its first normal tail, and only below
// a factor of 1.5.
func TestRecovery(t *testing.T) {
	p := slowPool(t)
	for _, c := range []struct {
		slowdown float64
		slow     bool
	}{{3, true}, {1.7, true}, {1.2, false}} {
		p.workers[0].AddTail(p.now.Add(500*time.Millisecond), c.slowdown, false)
		p.step()
		if got := p.decide(); got != c.slow {
			t.Errorf("with a tail %.1f times as long: slow %v, want %v", c.slowdown, got, c.slow)
		}
	}
}

// TestFewPeers checks that no worker counts as slow in a pool too small for a median.
func TestFewPeers(t *testing.T) {
	p := newPool(3)
	for range 6 {
		p.workers[0].AddTail(p.now.Add(500*time.Millisecond), 6, true)
		p.step()
		if p.decide() {
			t.Fatal("a worker of three counts as slow")
		}
	}
}

// TestFactorBounds checks factors and observations out of range.
func TestFactorBounds(t *testing.T) {
	for _, slowdown := range []float64{1e9, math.Inf(1), 0, -1, math.NaN(), math.Inf(-1), 1e-9} {
		p := slowPool(t)
		p.workers[0].AddTail(p.now, slowdown, true)
		p.workers[0].AddRun(p.now, pace.Run{ID: 1, Slowdown: slowdown})
		p.decide()
		if f := p.workers[0].Factor(p.now); !(f >= 1.0/16-1e-6 && f <= 16+1e-3) {
			t.Errorf("with slowdown %v the factor is %v, want 1/16 to 16", slowdown, f)
		}
	}
}

// TestProgressOutOfRange checks that progress outside 1 to 99 percent, or that falls,
// gives no measurement and begins a new window.
func TestProgressOutOfRange(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, percent := range []int{-1, 0, 5, 100, 101, 1 << 20} {
		var p pace.Progress
		p.Observe(now, 10, 10*time.Millisecond, time.Time{})
		if m, ok := p.Observe(now.Add(time.Second), percent, 10*time.Millisecond, time.Time{}); ok {
			t.Errorf("%d percent after 10 gives the measurement %+v", percent, m)
		}
		if _, ok := p.Observe(now.Add(2*time.Second), 50, 10*time.Millisecond, time.Time{}); ok {
			t.Errorf("a window that began before %d percent was measured", percent)
		}
	}
}

// TestWorthMoving checks the times of a move against what it saves.
func TestWorthMoving(t *testing.T) {
	for _, c := range []struct {
		remaining time.Duration
		factor    float64
		want      bool
	}{
		{time.Second, 6, true},
		{200 * time.Millisecond, 6, false}, // 1.2 s here, 1.7 s with the move
		{time.Second, 2, false},
		{2 * time.Second, 2, true},
		{0, 16, false},
		{time.Hour, 1, false},
	} {
		if got := pace.WorthMoving(c.remaining, c.factor); got != c.want {
			t.Errorf("with %v left at a factor of %v: %v, want %v", c.remaining, c.factor, got, c.want)
		}
	}
	for tasks, want := range map[int]int{0: 1, 9: 1, 20: 2, 300: 30} {
		if got := pace.MovesAtOnce(tasks); got != want {
			t.Errorf("of %d tasks %d may move at once, want %d", tasks, got, want)
		}
	}
}

// TestBaselines checks that an image's run times are compared with its usual ones, and not
// at all where expected times say little.
func TestBaselines(t *testing.T) {
	var b pace.Baselines
	for range 200 {
		b.Slowdown("steady", 3*time.Second, time.Second)
	}
	if got, known := b.Slowdown("steady", 18*time.Second, time.Second); !known || got < 4.5 || got > 7.5 {
		t.Errorf("slowdown %v (known: %v), want about 6", got, known)
	}
	for i := range 200 {
		b.Slowdown("noise", time.Duration(1+i%10)*time.Second, time.Second)
	}
	if got, known := b.Slowdown("noise", 20*time.Second, time.Second); known {
		t.Errorf("slowdown %v is known of an image whose run times vary by ten", got)
	}
	if _, known := b.Slowdown("new", time.Minute, time.Second); known {
		t.Error("the slowdown of an image's first run is known")
	}
	if _, known := b.Slowdown("steady", time.Second, 0); known {
		t.Error("a slowdown is known without an expected time")
	}
}

// TestWorkerSize checks the memory per worker, of which dispatch.State adds 32 bytes.
func TestWorkerSize(t *testing.T) {
	if size := unsafe.Sizeof(pace.Worker{}); size > 168 {
		t.Errorf("a Worker takes %d bytes, want at most 168", size)
	}
}
