package rank

// Weights of the reasons against a worker, relative to the share of processors
// left free, which counts 0 to 1. In decreasing order: an earlier failure of
// the task on the worker, a suspect worker, remote data, which makes a task
// take 2 to 3 times as long, a slow worker, interference, and a poor fit. A slow
// worker weighs less than remote data, as it is often slow for only a few seconds.
//
// Using one more worker for serving tasks makes it unavailable to most
// best-effort tasks, which outweighs spreading the tasks of a step. Mixing
// classes of serving tasks costs more, since a best-effort task must then suit
// all of them. Low-impact tasks leave the workers that suit other best-effort
// tasks to those, and tasks with a reservation avoid workers with best-effort
// tasks.
const (
	failedBeforeWeight = 1000
	suspectWeight      = 300
	remoteDataWeight   = 100
	slowWeight         = 80
	interferenceWeight = 12
	mixedClassWeight   = 8
	newServingWeight   = 5
	demandWeight       = 8
	sameStepWeight     = 0.1
	displaceWeight     = 2
)

// Cost returns the cost of placing a task on a worker; lower is better. The
// worker must have the capacity.
func Cost(t *Task, w *Worker) float64 {
	cost := fitCost(t, w) + suspicionCost(w)
	if !w.DataLocal {
		cost += remoteDataWeight
	}
	if w.Slowdown > 1 {
		cost += slowWeight * (1 - 1/w.Slowdown)
	}
	switch {
	case t.Serving && t.IgnoreClasses:
	case t.Serving:
		cost += interferenceWeight * w.Impact
		if w.Serving == 0 {
			cost += newServingWeight
		}
		if w.OtherClasses > 0 {
			cost += mixedClassWeight
		}
	case t.BestEffort:
		cost += interferenceWeight * w.Impact
		if t.LowImpact {
			cost += demandWeight * w.Demand // left to tasks with a larger impact
		}
	default:
		cost += displaceWeight * float64(w.BestEffort) / float64(1+w.BestEffort)
	}
	if t.Spread {
		cost += sameStepWeight * float64(w.SameStep)
	}
	return cost
}

// fitCost prefers the fullest worker for tasks with a reservation, and the one
// with most unused processors for best-effort tasks.
func fitCost(t *Task, w *Worker) float64 {
	if w.Capacity.MilliCPU == 0 {
		return 0
	}
	if t.BestEffort {
		return 1 - float64(w.UnusedMilliCPU-t.Request.MilliCPU)/float64(w.Capacity.MilliCPU)
	}
	return float64(w.Free.MilliCPU-t.Request.MilliCPU) / float64(w.Capacity.MilliCPU)
}

// suspicionCost keeps tasks from workers that failed them or are suspect.
func suspicionCost(w *Worker) float64 {
	cost := 0.0
	if w.FailedBefore {
		cost += failedBeforeWeight
	}
	if w.Suspect {
		cost += suspectWeight
	}
	return cost
}
