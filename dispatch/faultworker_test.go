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

// faultWorker is one life of a worker. It carries out what reaches it as the
// workers' protocol says, whatever the scheduler believes of it.
type faultWorker struct {
	info runner.Worker
	// token is the highest fencing token seen, leaseUntil the end of the lease
	// on its clock.
	token      uint64
	leaseUntil int64
	runs       map[workload.TaskID]*faultRun
	// highest is the highest run of a task that was stopped or ended here.
	highest map[workload.TaskID]uint64
	ends    []runner.RunEnd
	last    uint64
	// darkUntil is until when nothing reaches it, hiddenUntil until when the
	// membership list lacks it.
	darkUntil, hiddenUntil time.Time
	// leavesAt is when it leaves, zero unless it drains; overAt when its life
	// ended, zero while it lives. Reborn is set if another life came at its
	// address.
	leavesAt, overAt time.Time
	reborn           bool
}

// faultRun is a run on a faultWorker.
type faultRun struct {
	number uint64
	step   *workload.Step
	began  time.Time
	need   time.Duration
	fails  bool
}

// newFaultWorker returns a life without runs.
func newFaultWorker(id string) *faultWorker {
	return &faultWorker{
		info: workerInfo(id), runs: map[workload.TaskID]*faultRun{}, highest: map[workload.TaskID]uint64{},
	}
}

// room returns what is truly free.
func (w *faultWorker) room() infra.Resources {
	free := w.info.Capacity
	for _, r := range w.runs {
		free = free.Sub(r.step.Reserved())
	}
	return free
}

// tasks returns the tasks that run, in the order of their names.
func (w *faultWorker) tasks() []workload.TaskID {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b workload.TaskID) int { return strings.Compare(a.String(), b.String()) })
}

// fence takes in the token of an order and reports whether it may act.
func (w *faultWorker) fence(token uint64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

// start carries a start out; run is what it would begin.
func (w *faultWorker) start(clock int64, o runner.Start, run *faultRun) runner.Status {
	switch old := w.runs[o.Task]; {
	case !w.fence(o.Token):
		return runner.Fenced
	case o.LeaseUntil <= clock:
		return runner.LeaseExpired
	case old != nil && old.number == o.Run:
		return runner.Done
	case old != nil || o.Run <= w.highest[o.Task]:
		return runner.Superseded
	case !run.step.Reserved().Fits(w.room()):
		return runner.NoCapacity
	}
	w.leaseUntil = max(w.leaseUntil, o.LeaseUntil)
	w.runs[o.Task] = run
	return runner.Done
}

// stop carries a stop out.
func (w *faultWorker) stop(o runner.Stop) runner.Status {
	if !w.fence(o.Token) {
		return runner.Fenced
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		w.end(o.Task, runner.EndStopped)
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	return runner.Done
}

// hold renews the lease and reports.
func (w *faultWorker) hold(clock int64, o runner.Renewal) (runner.Status, runner.Report) {
	if !w.fence(o.Token) {
		return runner.Fenced, runner.Report{}
	}
	w.leaseUntil = max(w.leaseUntil, o.LeaseUntil)
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

// end lists an end.
func (w *faultWorker) end(id workload.TaskID, kind runner.EndKind) {
	r := w.runs[id]
	delete(w.runs, id)
	w.highest[id] = max(w.highest[id], r.number)
	w.last++
	w.ends = append(w.ends, runner.RunEnd{Number: w.last, Task: id, Run: r.number, Kind: kind})
}

// work ends the runs whose work or lease is over.
func (w *faultWorker) work(now time.Time, clock int64) {
	for _, id := range w.tasks() {
		r := w.runs[id]
		switch {
		case clock > w.leaseUntil:
			w.end(id, runner.EndExpired)
		case r.step.LongRunning || r.step.Gang || now.Sub(r.began) < r.need:
		case r.fails:
			w.end(id, runner.EndFailed)
		default:
			w.end(id, runner.EndDone)
		}
	}
}

// die ends the life and all that runs in it.
func (w *faultWorker) die(now time.Time, reborn bool) {
	w.overAt, w.reborn = now, reborn
	clear(w.runs)
}

// reachable reports whether an order reaches it now.
func (w *faultWorker) reachable(now time.Time) bool {
	return w.overAt.IsZero() && !now.Before(w.darkUntil)
}
