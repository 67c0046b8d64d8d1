package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/pace"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// worker is one incarnation of a worker and the runs that may be alive there.
type worker struct {
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
	// reported is set once it has answered a renewal of this owner.
	reported bool
	// token is the newest fencing token for its orders.
	token uint64
	// tokenSeen is the newest token that it is known to have seen.
	tokenSeen uint64
	// clock is the last reading of its own clock, received at clockAt.
	clock   int64
	clockAt time.Time
	// leaseUntil is the latest end, on the worker's own clock, of a lease that any
	// order sent can give.
	leaseUntil int64
	// leaseOverAt is when its leases were found to be over, zero if they weren't since
	// the last was given.
	leaseOverAt time.Time
	// leasedIn is the latest epoch whose owner may have given it a lease or a start,
	// according to the roster as it will be written next; 0 if unknown. This owner gives
	// it none before leasable is set: the durable roster then holds its own epoch, or the
	// owner's row doesn't say yet that the roster does.
	leasedIn uint64
	leasable bool
	// inheritedUntil is when all leases from an earlier owner have expired.
	inheritedUntil time.Time
	free           infra.Resources
	runs           map[workload.TaskID]*run
	// runsByNumber holds the runs in order of their numbers.
	runsByNumber []*run
	counts       runCounts
	// load is the cached load, nil after a change.
	load *workerLoad
	// unknownRun is set while its last report includes a run of an unknown task, which
	// is being stopped and takes capacity of unknown size.
	unknownRun bool
	// ends holds the numbers of its recorded ends. acknowledged is the number up to which
	// they are durable.
	ends         endNumbers
	acknowledged uint64
	// refusesWrongly is set once it has refused this owner's newest token although the
	// owner wasn't replaced, until it answers. Its refusals then count as no answer.
	refusesWrongly bool
	// refusedAt is when it refused this owner's newest token, zero if it didn't since the
	// last commit that confirmed the ownership.
	refusedAt time.Time
	// polledAt is when its last poll ended, with or without an answer; suspected
	// is set by the failure detector.
	polledAt  time.Time
	suspected bool
	// unresponsiveSince is when the first poll since its last answer failed,
	// zero if it is responsive.
	unresponsiveSince time.Time
	// earlyPolledAt is when it last got an early poll, earlyPollCheckedAt when
	// the need for one was last checked.
	earlyPolledAt, earlyPollCheckedAt time.Time
	// pausedUntil is the time before which it gets no new tasks.
	pausedUntil time.Time
	drainingAt  time.Time
	health      health
	// lastActionAt is when a best-effort run was last limited or stopped;
	// reportSum is a checksum of the last report's figures, to detect a
	// repeated one.
	lastActionAt time.Time
	reportSum    int64
	// recentlyEnded holds best-effort runs that the tails may still reflect.
	recentlyEnded []endedTask
	// pace is what is known of its speed, paceReportAt when its last report was
	// evaluated for that; reportsInvalid is set once it has reported figures out of
	// range.
	pace           pace.Worker
	paceReportAt   time.Time
	reportsInvalid bool
	// reportWanted is set until its next report if that decides about a move.
	reportWanted bool
	// suspectReports counts the last reports in a row with long tails.
	suspectReports uint8
	// limitUnconfirmed is set while the CPU limit of a run may not be in force.
	limitUnconfirmed bool
	// newTails is set by a report with tails until the next CPU limit decision.
	newTails bool
}

// clockLowerBound returns the earliest time that the worker's clock can show
// now.
func (w *worker) clockLowerBound(now time.Time) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	elapsed := now.Sub(w.clockAt)
	return w.clock + int64(float64(elapsed.Milliseconds())*(1-maxClockDrift))
}

// addressee returns the life that an order made now is for.
func (w *worker) addressee(now time.Time) runner.Addressee {
	return runner.Addressee{Incarnation: w.info.Incarnation, Clock: w.clockLowerBound(now), At: now}
}

// setClock records a reading of the worker's clock, unless an earlier one implies a
// later time: an answer may arrive long after the reading.
func (w *worker) setClock(now time.Time, clock int64) {
	if clock > 0 && clock >= w.clockLowerBound(now) {
		w.clock, w.clockAt = clock, now
	}
}

// extendLease records a lease that an order gives, or may have given.
func (w *worker) extendLease(until int64) {
	w.leaseUntil, w.leaseOverAt = max(w.leaseUntil, until), time.Time{}
}

// leaseExpired reports whether no run can be alive at the worker unless its
// lease is renewed.
func (w *worker) leaseExpired(now time.Time) bool {
	if now.Before(w.inheritedUntil) && !w.reported {
		return false
	}
	if w.leaseUntil == 0 {
		return true
	}
	return !w.clockAt.IsZero() && w.clockLowerBound(now) > w.leaseUntil+leaseExpiryMargin.Milliseconds()
}

// usable reports whether new tasks may go to the worker.
func (w *worker) usable(now time.Time) bool { return !w.zoneClosed && w.usableIfOpen(now) }

// usableIfOpen reports whether new tasks may go to the worker if its zone is open.
func (w *worker) usableIfOpen(now time.Time) bool {
	return w.listed && w.reported && !w.suspected && w.unresponsiveSince.IsZero() && !w.info.Draining && !w.unknownRun && now.After(w.pausedUntil)
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
