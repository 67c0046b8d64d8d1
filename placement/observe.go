package placement

import "github.com/fireflygate/fireflygate/infra"

// learnInterval is the number of reports after which the peak of a run is
// learned and reset.
const learnInterval = 64

// Observe records a host's usage.
func (s *Scheduler) Observe(u Usage) {
	n, known := s.nodes[u.Host]
	if !known {
		return
	}
	for _, j := range u.Jobs {
		if r, running := s.runs[j.Job]; running && r.node == n {
			s.observeRun(r, j)
		}
	}
	if len(u.LatencyMS) > 0 {
		s.observeLatency(n, u)
	}
}

// observeRun records a run's progress and peak. The usage of a throttled run
// is less than it needs, so it isn't learned.
func (s *Scheduler) observeRun(r *run, j JobUsage) {
	r.doneMS = max(r.doneMS, j.DoneMS)
	r.used = j.Used
	if r.cpuLimit < fullCPU {
		return
	}
	r.peak = maxResources(r.peak, j.Used)
	r.reports++
	if r.reports < learnInterval {
		return
	}
	s.estimator.LearnSize(r.spec, r.peak)
	r.peak, r.reports = infra.Resources{}, 0
}

// maxResources returns the maximum of each resource.
func maxResources(a, b infra.Resources) infra.Resources {
	return infra.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
