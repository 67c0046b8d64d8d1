package standin

import (
	"github.com/fireflygate/fireflygate/infra"
)

// load describes the contention for a worker's processors.
type load struct {
	// share is the fraction of its CPU demand that each run gets, 0 to 1.
	share float64
	// utilization is the CPU utilization, 0 to 1.
	utilization float64
}

// cpuDemand returns the CPU demand of a run under its CPU limit, in thousandths of a
// core.
func (r *run) cpuDemand() float64 {
	return float64(r.use.MilliCPU) * float64(r.cpuLimit) / fullPercent
}

// used returns the resource use of a run under the load.
func (l load) used(r *run) infra.Resources {
	use := r.use
	use.MilliCPU = int64(r.cpuDemand() * l.share)
	return use
}

// loads returns the worker's current load.
func (m *machine) loads() load {
	total := 0.0
	for _, r := range m.runs {
		if r.running() {
			total += r.cpuDemand()
		}
	}
	capacity := float64(m.config.Capacity.MilliCPU)
	if total <= 0 || capacity <= 0 {
		return load{share: 1}
	}
	return load{share: min(1, capacity/total), utilization: min(1, total/capacity)}
}

// speeds returns the speed of every run: 1 is full speed, 0 isn't running.
func (m *machine) speeds() []float64 {
	speeds := make([]float64, len(m.runs))
	l := m.loads()
	for i, r := range m.runs {
		if r.running() {
			speeds[i] = l.share * float64(r.cpuLimit) / fullPercent / m.slowdown(r, l)
		}
	}
	return speeds
}

// slowdown returns the factor, 1 or more, by which colocated runs slow a run down,
// times the SlowFactor of the faults.
func (m *machine) slowdown(r *run, l load) float64 {
	slow := 1.0
	table := m.config.Behaviour.Slowdown[r.class]
	for _, other := range m.runs {
		if other != r && other.running() {
			throttled := float64(other.cpuLimit) / fullPercent
			slow *= 1 + table[other.class]*l.utilization*throttled
		}
	}
	if m.faults.SlowFactor > 0 {
		slow *= m.faults.SlowFactor
	}
	return slow
}

// latencies returns the highest tail latency among the runs of each
// latency-critical class, in milliseconds.
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

// enforceMemory kills runs until the memory in use fits the capacity, those that
// exceed their reservation most first.
func (m *machine) enforceMemory() {
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

// excessMB returns the memory use above the run's reservation, in megabytes.
func (r *run) excessMB() int64 {
	return r.use.MemoryMB - r.reserved.MemoryMB
}
