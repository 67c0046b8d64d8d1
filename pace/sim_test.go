package pace_test

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fireflygate/fireflygate/pace"
)

const (
	simTick    = 100 * time.Millisecond
	simRunTime = 1400 * time.Millisecond
)

// sim is a pool whose workers run finite tasks in virtual time. Every worker reports at
// random intervals of 0.5 to 2 s, and when a run ends.
type sim struct {
	now     time.Time
	random  *rand.Rand
	workers []*simWorker
	judge   pace.Judge
	// stragglers is the share of the runs that take seven times as long.
	stragglers float64
	// found counts, by worker, how often it became slow.
	found map[int]int
}

type simWorker struct {
	state    pace.Worker
	factor   float64
	reportAt time.Time
	slots    []simRun
	nextRun  uint16
}

type simRun struct {
	id       uint16
	started  time.Time
	done     float64 // 0 to 1
	length   time.Duration
	progress pace.Progress
}

// newSim returns a pool whose workers run a number of tasks at once.
func newSim(seed uint64, workers, slots int, stragglers float64) *sim {
	s := &sim{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), stragglers: stragglers, found: map[int]int{}}
	for range workers {
		w := &simWorker{factor: 1, reportAt: s.now, slots: make([]simRun, slots)}
		for i := range w.slots {
			s.start(w, i)
			r := &w.slots[i]
			r.done = s.random.Float64()
			r.started = s.now.Add(-time.Duration(r.done * float64(r.length)))
		}
		s.workers = append(s.workers, w)
	}
	return s
}

func (s *sim) start(w *simWorker, slot int) {
	w.nextRun++
	length := time.Duration(float64(simRunTime) * math.Exp(0.1*s.random.NormFloat64()))
	if s.random.Float64() < s.stragglers {
		length *= 7
	}
	w.slots[slot] = simRun{id: w.nextRun, started: s.now, length: length}
}

// run lets the pool run for a while.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simTick)
		for _, w := range s.workers {
			s.step(w)
		}
		s.decide()
	}
}

// decide judges the pool.
func (s *sim) decide() {
	states := make([]*pace.Worker, len(s.workers))
	for i, w := range s.workers {
		states[i] = &w.state
	}
	for _, i := range s.judge.Decide(s.now, states) {
		if states[i].Slow() {
			s.found[i]++
		}
	}
}

// step advances a worker by a tick.
func (s *sim) step(w *simWorker) {
	ended := false
	for i := range w.slots {
		r := &w.slots[i]
		r.done += float64(simTick) / float64(r.length) / w.factor
		if r.done >= 1 {
			ended = true
			if !r.progress.Measured() {
				w.state.AddRun(s.now, pace.Run{ID: r.id, Slowdown: float64(s.now.Sub(r.started)) / float64(simRunTime), Since: r.started})
			}
			s.start(w, i)
		}
	}
	if !ended && s.now.Before(w.reportAt) {
		return
	}
	w.reportAt = s.now.Add(500*time.Millisecond + time.Duration(s.random.Int64N(int64(1500*time.Millisecond))))
	for i := range w.slots {
		r := &w.slots[i]
		m, ok := r.progress.Observe(s.now, int(100*r.done), simRunTime/100, r.started)
		if !ok {
			continue
		}
		slowdown := float64(100*m.PerPercent) / float64(simRunTime)
		w.state.AddRun(s.now, pace.Run{ID: r.id, Slowdown: slowdown, Since: m.Since, Rise: m.Rise})
	}
}

// setFactor sets the factor of workers from to before to.
func (s *sim) setFactor(from, to int, factor float64) {
	for _, w := range s.workers[from:to] {
		w.factor = factor
	}
}

// slow counts the workers from to before to that count as slow.
func (s *sim) slow(from, to int) int {
	n := 0
	for _, w := range s.workers[from:to] {
		if w.state.Slow() {
			n++
		}
	}
	return n
}
