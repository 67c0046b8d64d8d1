package standin

import (
	"github.com/fireflygate/fireflygate/infra"
)

// load is how busy a worker's processors are.
type load struct {
	// share is the part of what it wants that each run gets, 0 to 1.
	share float64
	// busy is the part of the processors in use, 0 to 1.
	busy float64
}

// wanted returns how many thousandths of a core a run wants.
func (r *run) wanted() float64 {
	return float64(r.use.MilliCPU) * float64(r.percent) / fullPercent
}

// used returns what a run uses under the load.
func (l load) used(r *run) infra.Resources {
	use := r.use
	use.MilliCPU = int64(r.wanted() * l.share)
	return use
}

// loads returns the load of the worker as it is now.
func (m *machine) loads() load {
	total := 0.0
	for _, r := range m.runs {
		if r.running() {
			total += r.wanted()
		}
	}
	capacity := float64(m.config.Capacity.MilliCPU)
	if total <= 0 || capacity <= 0 {
		return load{share: 1}
	}
	return load{share: min(1, capacity/total), busy: min(1, total/capacity)}
}

// speeds returns the speed of every run, 1 being full; 0 if it does not run.
func (m *machine) speeds() []float64 {
	speeds := make([]float64, len(m.runs))
	l := m.loads()
	for i, r := range m.runs {
		if r.running() {
			speeds[i] = l.share * float64(r.percent) / fullPercent / m.slowdown(r, l)
		}
	}
	return speeds
}

// slowdown returns by how much its neighbours slow a run, 1 being not at all.
func (m *machine) slowdown(r *run, l load) float64 {
	slow := 1.0
	table := m.config.Behaviour.Slowdown[r.class]
	for _, other := range m.runs {
		if other != r && other.running() {
			throttled := float64(other.percent) / fullPercent
			slow *= 1 + table[other.class]*l.busy*throttled
		}
	}
	if m.faults.SlowFactor > 0 {
		slow *= m.faults.SlowFactor
	}
	return slow
}

// latencies returns the tail latency by latency-critical class: the worst of
// its runs.
func (m *machine) latencies() map[string]float64 {
	latencies := map[string]float64{}
	l := m.loads()
	for _, r := range m.runs {
		base, critical := m.config.Behaviour.LatencyMS[r.class]
		if critical && r.running() {
			ms := base * m.slowdown(r, l) / l.share
			latencies[r.class] = max(latencies[r.class], ms)
		}
	}
	return latencies
}

// guardMemory kills runs until the memory in use fits: each time the one
// that is furthest above its reservation.
func (m *machine) guardMemory() {
	for {
		var total int64
		var worst *run
		for _, r := range m.runs {
			if !r.running() {
				continue
			}
			total += r.use.MemoryMB
			if worst == nil || r.excessMB() > worst.excessMB() {
				worst = r
			}
		}
		if worst == nil || total <= m.config.Capacity.MemoryMB {
			return
		}
		m.finish(worst, infra.RunKilled, reasonOutOfMemory)
	}
}

// excessMB is how much memory a run uses above its reservation.
func (r *run) excessMB() int64 {
	return r.use.MemoryMB - r.reserve.MemoryMB
}
