package rank

// The weights of the reasons against a worker. A worker's share of free
// processors after placement counts 0 to 1; each weight says how many such
// shares the reason outweighs. They are ordered: a failure there is worse
// than a doubtful worker, that worse than distant data, which makes a task
// take 2 to 3 times as long, that worse than a disturbed neighbour, and that
// worse than a poor fit. Opening one more worker to tasks that serve closes it
// to fillers, which outweighs spreading a step's tasks. Mixing classes that
// serve is worse: a filler must then suit all of them, and most suit only some.
// Fillers that suit all workers leave those that others want to them.
const (
	failedBeforeWeight = 1000
	suspectWeight      = 300
	farDataWeight      = 100
	disturbWeight      = 12
	mixWeight          = 8
	openWeight         = 5
	wantedWeight       = 8
	siblingWeight      = 0.1
	squeezeWeight      = 2
)

// Cost returns how bad a worker is for a task, least is best. The worker must
// have room.
func Cost(t *Task, w *Worker) float64 {
	cost := fitCost(t, w) + doubtCost(w)
	if !w.DataLocal {
		cost += farDataWeight
	}
	switch {
	case t.Serving && t.IgnoreClasses:
	case t.Serving:
		cost += disturbWeight * w.Impact
		if w.Serving == 0 {
			cost += openWeight
		}
		if w.OtherClasses > 0 {
			cost += mixWeight
		}
	case t.BestEffort:
		cost += disturbWeight * w.Impact
		if t.LowImpact {
			cost += wantedWeight * w.Demand // left to fillers that aren't
		}
	default:
		cost += squeezeWeight * float64(w.BestEffort) / float64(1+w.BestEffort)
	}
	if t.Spread {
		cost += siblingWeight * float64(w.SameStep)
	}
	return cost
}

// fitCost prefers the fullest worker for tasks with a reservation, and the
// one with most unused processors for fillers.
func fitCost(t *Task, w *Worker) float64 {
	if w.Capacity.MilliCPU == 0 {
		return 0
	}
	if t.BestEffort {
		return 1 - float64(w.UnusedMilliCPU-t.Request.MilliCPU)/float64(w.Capacity.MilliCPU)
	}
	return float64(w.Free.MilliCPU-t.Request.MilliCPU) / float64(w.Capacity.MilliCPU)
}

// doubtCost keeps tasks from workers that fail them.
func doubtCost(w *Worker) float64 {
	cost := 0.0
	if w.FailedBefore {
		cost += failedBeforeWeight
	}
	if w.Suspect {
		cost += suspectWeight
	}
	return cost
}
