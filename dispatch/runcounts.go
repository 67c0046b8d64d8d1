package dispatch

import "github.com/fireflygate/fireflygate/infra"

// runCounts aggregates the runs of a worker. It is updated as runs are added
// and removed, so that a planning cycle needn't visit every run.
type runCounts struct {
	// serving and bestEffort count the runs of that kind, byClass the serving
	// runs by class.
	serving, bestEffort int
	byClass             map[string]int
	// cpuLimited counts best-effort runs below their full CPU limit.
	cpuLimited int
	// finiteReserved is what is reserved for runs that end by themselves.
	finiteReserved infra.Resources
	// shortMilliCPU is the processors reserved for short tasks.
	shortMilliCPU int64
	// unreported counts the runs that no report has included yet, unproven those of
	// them whose task is suspect.
	unreported, unproven int
}

func (rc *runCounts) add(r *run) { rc.count(r, 1) }

func (rc *runCounts) drop(r *run) { rc.count(r, -1) }

// count changes the counts by n times one run.
func (rc *runCounts) count(r *run, n int) {
	st := r.task.step
	if !r.reported {
		rc.unreported += n
	}
	if r.unproven() {
		rc.unproven += n
	}
	switch {
	case st.spec.Serving():
		rc.serving += n
	case st.spec.BestEffort:
		rc.bestEffort += n
		if r.cpuLimit < fullCPU {
			rc.cpuLimited += n
		}
	}
	if c := st.class; c != "" {
		if rc.byClass == nil {
			rc.byClass = map[string]int{}
		}
		rc.byClass[c] += n
		if rc.byClass[c] == 0 {
			delete(rc.byClass, c)
		}
	}
	if st.spec.LongRunning {
		return
	}
	if n > 0 {
		rc.finiteReserved = rc.finiteReserved.Add(r.reserved)
	} else {
		rc.finiteReserved = rc.finiteReserved.Sub(r.reserved)
	}
	if !st.spec.BestEffort {
		rc.shortMilliCPU += int64(n) * r.reserved.MilliCPU
	}
}
