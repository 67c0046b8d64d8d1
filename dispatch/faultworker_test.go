package dispatch_test

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// faultWorker is a worker in its current life. It follows the worker protocol, whatever
// state the scheduler assumes.
type faultWorker struct {
	info runner.Worker
	// bornAt is when its life and with it its clock began. maxLease is the longest lease
	// that it grants, 0 if there is no limit.
	bornAt   time.Time
	maxLease time.Duration
	// returning is what concerns the change of its lives.
	returning returningWorker
	// token is the highest fencing token seen, leaseUntil the end of the lease
	// on the worker's clock.
	token      uint64
	leaseUntil int64
	runs       map[workload.TaskID]*faultRun
	// highestRun holds, by task, the highest run that was stopped or ended
	// here.
	highestRun map[workload.TaskID]uint64
	ends       []runner.RunEnd
	lastEnd    uint64
	// unreachableUntil is when orders arrive again, unlistedUntil when the
	// membership list includes the worker again.
	unreachableUntil, unlistedUntil time.Time
	// leavesAt is when it leaves, zero unless it drains; terminatedAt when it
	// terminated, zero while it is alive. restarted is set if another
	// incarnation answers at its address.
	leavesAt, terminatedAt time.Time
	restarted              bool
}

// faultRun is a run on a faultWorker.
type faultRun struct {
	number    uint64
	step      *workload.Step
	startedAt time.Time
	duration  time.Duration
	fails     bool
	// stopped is set by a test that has seen a stop order.
	stopped bool
	// unguarded makes its worker accept it whatever its capacity.
	unguarded bool
}

// newFaultWorker returns a worker without runs.
func newFaultWorker(id string) *faultWorker {
	return &faultWorker{
		info: workerInfo(id), runs: map[workload.TaskID]*faultRun{}, highestRun: map[workload.TaskID]uint64{},
	}
}

// free returns the capacity that is actually free.
func (w *faultWorker) free() infra.Resources {
	free := w.info.Capacity
	for _, r := range w.runs {
		free = free.Sub(r.step.Reserved())
	}
	return free
}

// tasks returns the tasks with a run, in order of their IDs.
func (w *faultWorker) tasks() []workload.TaskID {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b workload.TaskID) int { return strings.Compare(a.String(), b.String()) })
}

// fence records the token of an order and reports whether the order is valid.
func (w *faultWorker) fence(token uint64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

// grant extends the lease to a time on the worker's clock, or as far as the worker grants.
func (w *faultWorker) grant(clock, until int64) {
	if w.maxLease > 0 {
		until = min(until, clock+w.maxLease.Milliseconds())
	}
	w.leaseUntil = max(w.leaseUntil, until)
}

// start carries out a start order; run is the run to add.
func (w *faultWorker) start(clock int64, o runner.Start, run *faultRun) runner.Status {
	switch old := w.runs[o.Task]; {
	case !w.fence(o.Token):
		return runner.Fenced
	case o.LeaseUntil <= clock:
		return runner.LeaseExpired
	case old != nil && old.number == o.Run:
		return runner.Done
	case old != nil || o.Run <= w.highestRun[o.Task]:
		return runner.Superseded
	case !run.unguarded && !run.step.Reserved().Fits(w.free()):
		return runner.NoCapacity
	}
	w.grant(clock, o.LeaseUntil)
	w.runs[o.Task] = run
	return runner.Done
}

// stop carries out a stop order.
func (w *faultWorker) stop(o runner.Stop) runner.Status {
	if !w.fence(o.Token) {
		return runner.Fenced
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		w.endRun(o.Task, runner.EndStopped)
	}
	w.highestRun[o.Task] = max(w.highestRun[o.Task], o.Run)
	return runner.Done
}

// renew renews the lease, discards acknowledged ends and returns a report.
func (w *faultWorker) renew(clock int64, o runner.Renewal) (runner.Status, runner.Report) {
	if !w.fence(o.Token) {
		return runner.Fenced, runner.Report{}
	}
	w.grant(clock, o.LeaseUntil)
	for len(w.ends) > 0 && w.ends[0].Number <= o.Acknowledged {
		w.ends = w.ends[1:]
	}
	rep := runner.Report{ClockMS: clock}
	for _, id := range w.tasks() {
		r := w.runs[id]
		rep.Active = append(rep.Active, runner.ActiveRun{Task: id, Run: r.number, Percent: 100})
	}
	rep.Ends = append(rep.Ends, w.ends...)
	return runner.Done, rep
}

// endRun ends a run and records its end.
func (w *faultWorker) endRun(id workload.TaskID, kind runner.EndKind) {
	r := w.runs[id]
	delete(w.runs, id)
	w.highestRun[id] = max(w.highestRun[id], r.number)
	w.lastEnd++
	w.ends = append(w.ends, runner.RunEnd{Number: w.lastEnd, Task: id, Run: r.number, Kind: kind})
}

// advance ends the runs whose work is done or whose lease has expired.
func (w *faultWorker) advance(now time.Time, clock int64) {
	for _, id := range w.tasks() {
		r := w.runs[id]
		switch {
		case clock > w.leaseUntil:
			w.endRun(id, runner.EndExpired)
		case r.step.LongRunning || r.step.Gang || now.Sub(r.startedAt) < r.duration:
		case r.fails:
			w.endRun(id, runner.EndFailed)
		default:
			w.endRun(id, runner.EndDone)
		}
	}
}

// terminate ends the incarnation and all its runs.
func (w *faultWorker) terminate(now time.Time, restarted bool) {
	w.terminatedAt, w.restarted = now, restarted
	clear(w.runs)
}

// reachable reports whether an order arrives now.
func (w *faultWorker) reachable(now time.Time) bool {
	return w.terminatedAt.IsZero() && !now.Before(w.unreachableUntil)
}
