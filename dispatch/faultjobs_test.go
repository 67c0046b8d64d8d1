package dispatch_test

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/workload"
)

// accept passes a job to the owner; it starts once it is durable.
func (s *faultSim) accept(q workload.Queue, id string, steps ...workload.Step) {
	job := &workload.Job{ID: id, Queue: q.Name, Steps: steps, Submitted: s.now.UnixMilli()}
	s.jobs = append(s.jobs, job)
	s.state.Accept(s.now, s.now.UnixMilli(), job, q)
}

// submitRandom submits a random job.
func (s *faultSim) submitRandom(id string) {
	cores := func(least, most int) func(*workload.Step) {
		n := least + s.random.IntN(most-least+1)
		return func(st *workload.Step) {
			st.Needs = infra.Resources{MilliCPU: int64(n) * 1000, MemoryMB: 1000}
			st.Estimate = s.between(300*time.Millisecond, 2*time.Second)
		}
	}
	n := 1 + s.random.IntN(4)
	switch kind := s.random.IntN(10); {
	case kind < 4:
		s.accept(queueShort, id, step(n, 1, cores(1, 8), func(st *workload.Step) { st.Speculative = kind < 2 }))
	case kind < 6:
		s.accept(queueLong, id, step(n, 1, cores(1, 6), func(st *workload.Step) { st.Checkpointing = true }), step(1, 1, cores(1, 4), func(st *workload.Step) { st.After = []int{0} }))
	case kind < 7:
		s.accept(queueLong, id, step(2, 1, cores(1, 4), func(st *workload.Step) { st.Gang = true }))
	case kind < 8:
		s.accept(queueLong, id, step(n, 1, cores(2, 6), func(st *workload.Step) { st.BestEffort, st.Image = true, "batch" }))
	default:
		if s.longRunningMilliCPU() < 50_000 {
			s.accept(queueShort, id, step(n, 1, cores(2, 6), longRunning, func(st *workload.Step) { st.MaxPerWorker = s.random.IntN(3) }))
		}
	}
}

// longRunningMilliCPU returns what long-running jobs request.
func (s *faultSim) longRunningMilliCPU() int64 {
	var sum int64
	for _, j := range s.jobs {
		if state, ok := s.state.JobState(j.ID); j.Steps[0].LongRunning && (!ok || !state.Final()) {
			sum += int64(j.Steps[0].Tasks) * j.Steps[0].Needs.MilliCPU
		}
	}
	return sum
}
