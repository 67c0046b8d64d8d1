package placement

import "github.com/fireflygate/fireflygate/infra"

// learnEvery is after how many reports a long run's peak is learned from and
// begun anew.
const learnEvery = 64

// Observe takes in a host's usage.
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

// observeRun keeps a run's progress and peak. A throttled run shows less than
// it needs, so its processors are not learned from.
func (s *Scheduler) observeRun(r *run, j JobUsage) {
	r.doneMS = max(r.doneMS, j.DoneMS)
	r.used = j.Used
	if r.percent < fullSpeed {
		return
	}
	r.peak = larger(r.peak, j.Used)
	r.reports++
	if r.reports < learnEvery {
		return
	}
	s.sizes.LearnSize(r.spec, r.peak)
	r.peak, r.reports = infra.Resources{}, 0
}

// larger is the larger of each resource.
func larger(a, b infra.Resources) infra.Resources {
	return infra.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
