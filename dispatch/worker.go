package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// worker is one life of a worker and the runs that may be alive there.
type worker struct {
	info runner.Worker
	// changed is the count of changes when something last changed that may let
	// a task fit there.
	changed uint64
	// slot is its place among the workers of the planning cycle under way.
	slot int
	// mark is its short name in rows.
	mark uint32
	// listed is set while the membership list shows the worker.
	listed bool
	// missingSince is since when the list lacks it.
	missingSince time.Time
	// rostered is set once the durable roster names the worker; no order goes
	// out before, so that a later owner knows where runs may be alive.
	rostered bool
	// reported is set once it has answered a renewal of this owner.
	reported bool
	// token is the newest fencing token for orders to it.
	token uint64
	// tokenSeen is the newest token that it is known to have seen.
	tokenSeen uint64
	// clock is its own clock as last told, read before clockAt.
	clock   int64
	clockAt time.Time
	// leaseUntil is the latest end of lease that any order sent could give.
	leaseUntil int64
	// inheritedUntil ends whatever an earlier owner's orders left there.
	inheritedUntil time.Time
	free           infra.Resources
	runs           map[workload.TaskID]*run
	// inOrder holds the runs in the order of their numbers.
	inOrder []*run
	tally   tally
	// view is what planning has worked out, nil once something has changed.
	view *view
	// seen is the last end taken in; acknowledged the last that is durable.
	seen, acknowledged uint64
	// answersAt is when it last answered; silent is set after a failure.
	answersAt time.Time
	silent    bool
	// unheardSince is when it first gave no answer since it last gave one.
	unheardSince time.Time
	// peekedAt is when it was last looked at beside a look that waits,
	// watchedAt when that was last considered.
	peekedAt, watchedAt time.Time
	// pausedUntil keeps new tasks from it for a while.
	pausedUntil time.Time
	drainingAt  time.Time
	health      health
	// guardedAt is when a filler was last acted on; figures is a sum over the
	// last report's, by which a repeated one is told.
	guardedAt time.Time
	figures   int64
	// leaving are fillers that ended lately.
	leaving []leaver
	// reportedTails is set by a report whose tails nothing has been decided on.
	reportedTails bool
}

// clockNow returns the least that the worker's clock can show.
func (w *worker) clockNow(now time.Time) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	passed := now.Sub(w.clockAt)
	return w.clock + int64(float64(passed.Milliseconds())*(1-clockDrift))
}

// tick takes in a reading of the worker's clock.
func (w *worker) tick(now time.Time, clock int64) {
	if clock > 0 {
		w.clock, w.clockAt = clock, now
	}
}

// leaseOver reports whether nothing can be alive at the worker any more,
// short of a renewal.
func (w *worker) leaseOver(now time.Time) bool {
	if now.Before(w.inheritedUntil) && !w.reported {
		return false
	}
	if w.leaseUntil == 0 {
		return true
	}
	return !w.clockAt.IsZero() && w.clockNow(now) > w.leaseUntil+lostMargin.Milliseconds()
}

// usable reports whether new tasks may go to the worker.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.reported && !w.silent && w.unheardSince.IsZero() && !w.info.Draining && now.After(w.pausedUntil)
}

// roomInTime returns what is free once every run that ends by itself has.
func (w *worker) roomInTime() infra.Resources { return w.free.Add(w.tally.ending) }

// add takes in a run that may be alive there, and reserves its room.
func (w *worker) add(r *run) {
	w.runs[r.task.id()] = r
	at, _ := slices.BinarySearchFunc(w.inOrder, r, (*run).compare)
	w.inOrder = slices.Insert(w.inOrder, at, r)
	w.free = w.free.Sub(r.reserved)
	w.tally.add(r)
	w.view = nil
}

// drop takes out a run that is over.
func (w *worker) drop(r *run) {
	delete(w.runs, r.task.id())
	if at := slices.Index(w.inOrder, r); at >= 0 {
		w.inOrder = slices.Delete(w.inOrder, at, at+1)
	}
	w.free = w.free.Add(r.reserved)
	w.tally.drop(r)
	w.view = nil
}

// servingLoad is the share of its reservation that a serving task uses on
// average; workers report such a task's tail and not its use. By fits of 15,000
// tails on each of three deployments it is 0.45 to 0.48.
const servingLoad = 0.45

// unusedCPU returns the processors that nothing is expected to use, negative
// when fillers have asked for more than is left.
func (w *worker) unusedCPU(now time.Time) int64 {
	unused := w.free.MilliCPU
	for _, r := range w.inOrder {
		switch spec := r.task.step.spec; {
		case spec.BestEffort:
			unused -= r.fillerUse(now)
		case spec.Serving():
			unused += int64((1 - servingLoad) * float64(spec.Needs.MilliCPU))
		}
	}
	return unused
}
