package control

import (
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/overload"
)

// run runs the loop until the ownership ends.
func (o *Owner) run() {
	defer close(o.stopped)
	defer o.abandonWaiters()
	o.updateClosedZones() // changes from now on are posted to the loop
	go o.watchMembers()
	t := time.NewTicker(maxPlanInterval)
	defer t.Stop()
	planTimer := time.NewTimer(minPlanInterval)
	defer planTimer.Stop()
	planScheduled := true
	pollTimer := time.NewTimer(maxPlanInterval)
	defer pollTimer.Stop()
	for {
		select {
		case f := <-o.events:
			start := time.Now()
			o.loop.maxQueuedEvents = max(o.loop.maxQueuedEvents, len(o.events))
			f()
			o.drainEvents(start)
			o.loop.add(handlingEvents, start)
			if !planScheduled {
				planScheduled = true
				planTimer.Reset(max(minPlanInterval, planIdleFactor*o.stepDuration) - time.Since(o.steppedAt))
			}
			continue
		case <-pollTimer.C:
			if o.pollsLeft {
				o.pollOn()
			}
			if o.pollsLeft {
				pollTimer.Reset(minPlanInterval)
			}
			continue
		case <-planTimer.C:
			planScheduled = false
		case due := <-t.C:
			o.loop.recordTick(due)
		case <-o.ctx.Done():
			return
		}
		o.step()
		if o.pollsLeft {
			pollTimer.Reset(minPlanInterval)
		}
	}
}

// beginCycle notes that a cycle begins. It returns false if the owner hands the domain
// over: the cycle then only polls workers.
func (o *Owner) beginCycle(now time.Time) bool {
	at := boottime()
	o.verifyAfterStall(at)
	o.endIfRefused(at)
	o.updateAcceptance()
	o.boundEarlierOwners(at)
	o.cycleAt.Store(int64(at))
	if o.handOver() {
		o.pollWorkers(now) // renews the leases of running tasks until the handover is committed
		return false
	}
	return true
}

// pollOn is a cycle that plans nothing: it begins polls that the last one left, and
// commits what is due.
func (o *Owner) pollOn() {
	now := time.Now()
	if !o.beginCycle(now) {
		return
	}
	o.flush(now)
	done := o.loop.add(flushing, now)
	o.pollWorkers(now)
	o.loop.add(polling, done)
}

// drainEvents runs queued functions, so that one cycle covers them, for maxDrain.
func (o *Owner) drainEvents(start time.Time) {
	for time.Since(start) < maxDrain {
		select {
		case f := <-o.events:
			f()
		default:
			return
		}
	}
}

// step runs one cycle: it withdraws submissions in an outage of the table service,
// commits changes, plans, and polls workers.
func (o *Owner) step() {
	o.withdrawInOutage()
	now := time.Now()
	if !o.beginCycle(now) {
		return
	}
	o.steppedAt = now
	o.flush(now)
	done := o.loop.add(flushing, now)
	if o.ownershipValid() && !o.refused() && !o.resigning && o.planDue(now) {
		o.state.SetCommitOverdue(o.commitOverdue(now))
		p := o.state.PlanWithin(now, dispatch.PlanLimits{Starts: o.traffic.AvailableStarts(), Visits: o.overload.Limit(), Lease: o.leaseLeft()})
		planned := done
		done = o.loop.add(planning, done)
		o.loop.cycles.add(&p)
		o.recentCycles.add(&p)
		o.observeOverload(now, overload.Cycle{Took: done.Sub(planned), Visits: p.Visits, Cut: p.VisitLimitReached})
		o.plannedAt, o.startLimitReached = now, p.StartLimitReached
		o.observeCapacity(now)
		o.issueOrders(p)
		o.requestPermits(now)
		done = o.loop.add(issuingOrders, done)
	}
	if o.state.AwaitsConfirmation() {
		o.flush(now) // a task that starts again waits for this commit
		done = o.loop.add(flushing, done)
	}
	o.pollWorkers(now)
	done = o.loop.add(polling, done)
	o.observeBacklog(now)
	o.summarize(now)
	o.logLosses()
	o.recordPace()
	o.stepDuration = o.loop.add(summarizing, done).Sub(now)
	o.opts.Metrics.planDuration.Observe(o.stepDuration.Seconds())
}

// planDue reports whether to plan now. After a plan was cut short by the limit
// on starts in flight, it waits for answers, or for maxPlanInterval.
func (o *Owner) planDue(now time.Time) bool {
	return !o.startLimitReached || o.traffic.CanPlanStarts() || now.Sub(o.plannedAt) >= maxPlanInterval
}
