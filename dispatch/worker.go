package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// worker is a worker with what is known of its current life, and the runs that may be
// alive there.
type worker struct {
	*life
	info runner.Worker
	// lastChange is the change count of the last change that may let a task fit
	// there.
	lastChange uint64
	// index is its position among the workers of the current planning cycle.
	index int
	// hash identifies it in rows.
	hash uint32
	// listed is set while the membership list includes the worker.
	listed bool
	// zoneClosed is set while its availability zone is closed.
	zoneClosed bool
	// knownSince is when this owner first saw it on the list, zero for a worker of an
	// earlier owner.
	knownSince time.Time
	// inRoster is set once the durable roster includes the worker. It gets no
	// orders before, so that a later owner knows where runs may be alive.
	inRoster bool
	// token is the newest fencing token for its orders. It increases across lives.
	token uint64
	// leasedIn is the latest epoch whose owner may have given it a lease or a start,
	// according to the roster as it will be written next; 0 if unknown. This owner gives
	// it none before leasable is set: the durable roster then holds its own epoch, or the
	// owner's row doesn't say yet that the roster does.
	leasedIn uint64
	leasable bool
	// unleased is set while the owner's row may name the worker as one that gets no leases.
	// unleasedEnd is when its leases are over by the row that the owner has inherited, zero if
	// that doesn't name it.
	unleased    bool
	unleasedEnd time.Time
	// inheritedNewLife is set if an earlier owner knew that it had started again shortly
	// before.
	inheritedNewLife bool
	// inheritedUntil is when all leases from an earlier owner have expired.
	inheritedUntil time.Time
	free           infra.Resources
	runs           map[workload.TaskID]*run
	// runsByNumber holds the runs in order of their numbers.
	runsByNumber []*run
	counts       runCounts
	// load is the cached load, nil after a change.
	load *workerLoad
	// polledAt is when its last poll ended, with or without an answer.
	polledAt time.Time
	// answerWanted is set until its next poll ends, if a task waits to know that it answers.
	answerWanted bool
	// earlyPolledAt is when it last got an early poll, earlyPollCheckedAt when
	// the need for one was last checked.
	earlyPolledAt, earlyPollCheckedAt time.Time
	drainingAt                        time.Time
}

// leaseExpired reports whether no run can be alive at the worker unless its lease is renewed.
// A life that isn't known may hold its lease for excess longer.
func (w *worker) leaseExpired(now time.Time, excess time.Duration) bool {
	if !w.mayBeAnotherLife() {
		excess = 0
	}
	if now.Before(w.inheritedUntil.Add(excess)) && !w.reported {
		return false
	}
	if w.leaseUntil == 0 {
		return true
	}
	return !w.clockAt.IsZero() && w.clockLowerBound(now) > w.leaseUntil+(excess+leaseExpiryMargin).Milliseconds()
}

// mayBeAnotherLife reports whether orders may have been carried out by a life of the worker that
// has started shortly before and hasn't answered this owner: the membership list names it, or an
// earlier owner knew of it.
func (w *worker) mayBeAnotherLife() bool {
	named := w.info.Incarnation.Differs(w.incarnation) && w.info.Incarnation != w.before
	return named || (w.inheritedNewLife && !w.reported)
}

// usable reports whether new tasks may go to the worker.
func (w *worker) usable(now time.Time) bool { return !w.zoneClosed && w.usableIfOpen(now) }

// usableIfOpen reports whether new tasks may go to the worker if its zone is open. While its
// entry is of another life, its capacity isn't known.
func (w *worker) usableIfOpen(now time.Time) bool {
	return w.listed && w.reported && !w.info.Incarnation.Differs(w.incarnation) && !w.suspected && w.unresponsiveSince.IsZero() && !w.info.Draining && !w.unknownRun && now.After(w.pausedUntil) && !w.startsWait(now)
}

// answeredLately reports whether the worker has answered a poll within restartCheckAge.
func (w *worker) answeredLately(now time.Time) bool { return now.Sub(w.polledAt) < restartCheckAge }

// wantAnswer has the worker polled in this cycle.
func (w *worker) wantAnswer() {
	if !w.answerWanted {
		w.answerWanted, w.earlyPollCheckedAt = true, time.Time{}
	}
}

// eventuallyFree returns what is free once every run that ends by itself has.
func (w *worker) eventuallyFree() infra.Resources { return w.free.Add(w.counts.finiteReserved) }

// addRun adds a run that may be alive there, and reserves its capacity.
func (w *worker) addRun(r *run) {
	w.runs[r.task.id()] = r
	at, _ := slices.BinarySearchFunc(w.runsByNumber, r, (*run).compare)
	w.runsByNumber = slices.Insert(w.runsByNumber, at, r)
	w.free = w.free.Sub(r.reserved)
	w.counts.add(r)
	w.load = nil
}

// removeRun removes an ended run and frees its capacity.
func (w *worker) removeRun(r *run) {
	delete(w.runs, r.task.id())
	if at := slices.Index(w.runsByNumber, r); at >= 0 {
		w.runsByNumber = slices.Delete(w.runsByNumber, at, at+1)
	}
	w.free = w.free.Add(r.reserved)
	w.counts.drop(r)
	w.load = nil
}

// servingUtilization is the average share of its reservation that a serving
// task uses. Workers report such a task's tail instead of its use.
const servingUtilization = 0.45

// unusedCPU returns the processors not expected to be used, negative if
// best-effort tasks have requested more than is left.
func (w *worker) unusedCPU(now time.Time) int64 {
	unused := w.free.MilliCPU
	for _, r := range w.runsByNumber {
		switch spec := r.task.step.spec; {
		case spec.BestEffort:
			unused -= r.bestEffortUse(now)
		case spec.Serving():
			unused += int64((1 - servingUtilization) * float64(spec.Needs.MilliCPU))
		}
	}
	return unused
}
