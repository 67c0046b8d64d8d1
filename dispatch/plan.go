package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/queue"
	"github.com/fireflygate/fireflygate/runner"
)

// waitingStep is a step with tasks that may start, and its queue entry.
type waitingStep struct {
	entry queue.Entry
	step  *step
	// tried is set once a cycle has placed what fits of a step in a pool with shares.
	tried bool
}

// Plan returns the orders to give now.
func (s *State) Plan(now time.Time) Plan { return s.PlanAtMost(now, math.MaxInt) }

// PlanAtMost is Plan with at most maxStarts starts.
func (s *State) PlanAtMost(now time.Time, maxStarts int) Plan {
	return s.PlanWithin(now, PlanLimits{Starts: maxStarts, Visits: math.MaxInt, Lease: s.cfg.Lease})
}

// PlanWithin ends the runs whose leases have expired and returns the orders to
// give now, which the State then counts as given. There are at most limits.Starts
// starts, for the steps first in the queue; steps beyond a limit reserve no
// capacity. A gang that starts below the limit starts whole, even if that exceeds
// the limit.
func (s *State) PlanWithin(now time.Time, limits PlanLimits) Plan {
	s.ExpireLeases(now)
	s.giveUpJobs(now)
	s.drain(now)
	s.judgePace(now)
	var p Plan
	p.CPULimits = s.adjustCPULimits(now)
	c := newCycle(s, now)
	c.maxStarts, c.maxVisits, c.lease = limits.Starts, limits.Visits, limits.Lease
	c.starts = s.releaseHeldStarts(now, limits.Lease)
	list := s.waitingSteps(now)
	c.computeCapacity(list)
	c.computeShares(list)
	if c.visitsLimited() {
		c.placeUrgent(list)
	}
	p.UrgentVisits, c.visits = c.visits, 0
	c.divideVisits(list)
	allTried := c.placeSteps(list)
	p.StartLimitReached, p.VisitLimitReached = !allTried && c.startLimitReached(), c.visitLimitReached
	c.recordClaims(!allTried)
	if allTried && !c.startLimitReached() {
		c.startLimited(list)
		c.copySlowRuns()
		c.moveOffSlowWorkers()
	}
	p.Starts, p.Visits = c.starts, c.visits
	p.Stops, s.stops = s.stops, nil
	s.lastCycle = c
	return p
}

// waitingSteps returns the steps with tasks that may start, in queue order.
func (s *State) waitingSteps(now time.Time) []*waitingStep {
	var list []*waitingStep
	for _, j := range s.open {
		if !j.rowStored || s.waitsForArrivals(now, j) {
			continue
		}
		for _, o := range j.occurrences {
			if o.unfinishedSteps == 0 || o.due.After(now) {
				continue
			}
			for _, st := range o.steps {
				if st.ready() {
					list = append(list, &waitingStep{entry: s.queueEntry(st), step: st})
				}
			}
		}
	}
	compare := s.queueOrder()
	slices.SortFunc(list, func(a, b *waitingStep) int { return compare(&a.entry, &b.entry, now) })
	return list
}

// queueOrder returns the order of waiting steps.
func (s *State) queueOrder() func(a, b *queue.Entry, now time.Time) int {
	switch {
	case s.cfg.Disabled.Has(mechanism.Timeliness):
		return queue.CompareArrival
	case s.cfg.Disabled.Has(mechanism.LeastWork):
		return queue.CompareLatestStart
	default:
		return queue.Compare
	}
}

func (s *State) queueEntry(st *step) queue.Entry {
	j, o := st.job, st.occurrence
	remaining, remainingWork := j.criticalPaths[st.index], o.remainingWork()
	return queue.Entry{
		Priority:    j.queue.Priority,
		Restart:     st.spec.LongRunning && st.waitsForRestart(),
		LongRunning: st.spec.LongRunning && !st.waitsForRestart() && !s.cfg.Disabled.Has(mechanism.SpreadFirst), MaxPerWorker: st.spec.MaxPerWorker,
		LatestStart:       j.objective(o).Add(-remaining),
		LatestUsefulStart: j.expiry(o).Add(-remaining),
		Arrived:           o.due,
		RemainingWork:     remainingWork,
		Effort:            queue.EffortOf(remainingWork, o.totalWork),
		ID:                j.spec.ID,
	}
}

// cycle is one planning cycle over the workers as they are now.
type cycle struct {
	s       *State
	now     time.Time
	workers []*worker
	// reserved marks the workers, by index, whose capacity is reserved for a
	// step that fits nowhere yet; reservedCount counts them, except for those where
	// capacity is being reclaimed.
	reserved      []bool
	reservedCount int
	starts        []StartOrder
	// maxStarts bounds starts, maxVisits the visits of workers in searches. visits counts
	// those made for other than urgent steps.
	maxStarts, maxVisits, visits int
	// lease is the longest lease that a start gives.
	lease time.Duration
	// visitsLeft holds what is left to each pool of the limit on visits, nil without a
	// limit. visitLimitReached is set once a step was left untried for want of visits.
	visitsLeft        map[string]int
	visitLimitReached bool
	pools             map[string]*poolCapacity
	demand            *bestEffortDemand
	// shares holds the pools in which a queue has a guaranteed share, nil if there are
	// none. claiming is the queue whose claim is being met, nil in between.
	shares   map[string]*sharedPool
	claiming *sharedQueue
	// reclaimAttempts counts the steps for which runs to reclaim were sought.
	reclaimAttempts int
	// restarting is set while a step is placed of which a long-running task was lost, and
	// checkPending once that passed over a worker that hasn't answered lately.
	restarting, checkPending bool
	// preemptAttempts counts the steps for which victims were sought.
	preemptAttempts int
	// shortlistBuffer is the storage of the last shortlist, for reuse.
	shortlistBuffer workerHeap
	// awaited holds the hashes of the inherited workers that have yet to report, nil until
	// the first task asks for them.
	awaited map[uint32]struct{}
	// noFit holds, by kind of step, the needs that fit nowhere in this cycle.
	noFit map[stepKind][]infra.Resources
}

// newCycle collects the usable workers, in order of their IDs.
func newCycle(s *State, now time.Time) *cycle {
	c := &cycle{
		s: s, now: now, noFit: map[stepKind][]infra.Resources{}, demand: s.currentDemand(now),
		workers: make([]*worker, 0, len(s.workers)), maxStarts: math.MaxInt, maxVisits: math.MaxInt,
	}
	for _, w := range s.byID() {
		if w.usable(now) && w.inRoster && w.mayLease() && !w.clockAt.IsZero() {
			c.workers = append(c.workers, w)
		}
	}
	c.reserved = make([]bool, len(c.workers))
	for i, w := range c.workers {
		w.index = i
	}
	return c
}

// startLimitReached reports whether the cycle has given all starts it may.
func (c *cycle) startLimitReached() bool { return len(c.starts) >= c.maxStarts }

// isReserved reports whether a worker's capacity is withheld. That of workers in closed
// zones never is.
func (c *cycle) isReserved(w *worker) bool { return !w.zoneClosed && c.reserved[w.index] }

// reserveWorker withholds a worker's capacity from steps later in the queue.
func (c *cycle) reserveWorker(w *worker) {
	if !c.reserved[w.index] {
		c.reserved[w.index] = true
		c.reservedCount++
	}
}

// placeStep starts as many of a step's tasks as fit. If one doesn't fit, it
// preempts other runs or reserves capacity for it.
func (c *cycle) placeStep(st *step) {
	if st.spec.Gang {
		c.placeGang(st)
		return
	}
	c.restarting, c.checkPending = st.spec.LongRunning && st.waitsForRestart(), false
	defer func() { c.restarting = false }()
	var list *shortlist // built when the first task needs it
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || len(t.runs) > 0 {
			continue
		}
		if !c.safeToStart(t) || !c.headroomAllows(t) {
			continue
		}
		if c.startLimitReached() || c.claiming.met() {
			return
		}
		if t.suspect() {
			started, waits := c.placeSeparately(t)
			if started {
				list = nil // its worker gets no other starts
			}
			if started || waits {
				continue
			}
		}
		if list == nil {
			list = c.shortlist(st)
		}
		w := list.bestFor(t)
		if w == nil && c.checkPending {
			return
		}
		if w == nil {
			c.freeUpCapacity(st)
			c.reserveCapacity(st)
			return // its other tasks need as much
		}
		st.blockedSince = time.Time{}
		c.s.nextRun++
		c.start(t, w, c.s.nextRun)
		list.updateBest()
	}
}

// safeToStart reports whether no other run of a task can be alive, and not too many
// workers have crashed under it. An inherited
// task waits for the workers that the store names or, if it names none, for all
// workers that haven't reported; if one of these was lost, also for a commit that
// began afterwards, as a successor may have reached it before. A task without a run
// for which the store still names workers must wait until its row is written again,
// since a later owner relies on these; safeToStart makes that change urgent.
func (c *cycle) safeToStart(t *task) bool {
	j := t.step.job
	if t.exhausted() || t.pausedAfterCrash(c.now) {
		return false
	}
	if j.inherited && !t.inheritanceResolved {
		if len(c.s.awaitingReport) > 0 && len(t.locations) == 0 {
			return false
		}
		if slices.ContainsFunc(t.locations, c.awaitsReportOf) {
			return false
		}
		if !c.s.confirmation.confirmedSince(c.s.awaitedLostAt) {
			return false
		}
		t.inheritanceResolved = true
		if t.ranBefore.evidence == NoPriorRun {
			t.recordOver(c.now, WorkersReported, "", 0)
		}
	}
	if len(t.locations) > 0 {
		c.s.markDirty(j)
		j.urgent = true
		return false
	}
	return true
}

// awaitsReportOf reports whether a worker with the hash has yet to report what runs there.
func (c *cycle) awaitsReportOf(hash uint32) bool {
	if c.awaited == nil {
		c.awaited = make(map[uint32]struct{}, len(c.s.awaitingReport))
		for _, w := range c.s.awaitingReport {
			c.awaited[w.hash] = struct{}{}
		}
	}
	_, found := c.awaited[hash]
	return found
}

// start adds a run of the task to the worker, which reserves its capacity, and
// adds the start order to the plan.
func (c *cycle) start(t *task, w *worker, number uint64) {
	c.startRun(t, w, number, startOptions{cpuLimit: fullCPU})
}

// startOptions are what starts differ in.
type startOptions struct {
	// gang is shared by the members of a gang, nil for other tasks.
	gang *GangStart
	// cpuLimit is the run's CPU limit, in percent. It is ordered once the start is answered.
	cpuLimit int
}

// startRun is start with options.
func (c *cycle) startRun(t *task, w *worker, number uint64, options startOptions) {
	r := &run{
		task: t, number: number, token: c.s.startToken(w), worker: w, life: w.number, phase: ordered,
		startedAt: c.now, reserved: t.step.spec.Reserved(), cpuLimit: options.cpuLimit, separate: t.suspect(),
		sending: new(Sending),
	}
	if r.cpuLimit < fullCPU {
		r.cpuLimitUnconfirmed, w.limitUnconfirmed = true, true
	}
	snapshot := w.snapshot(c.now)
	w.addRun(r)
	if p := c.pools[w.info.Pool]; p != nil {
		p.free -= r.reserved.MilliCPU
	}
	t.attach(r)
	c.countStart(t.step)
	t.step.job.breakdown.Starts++
	c.s.markDirty(t.step.job)
	permit, _ := t.step.permitFor(c.now, w)
	order := StartOrder{
		Worker: w.info, To: w.addressee(c.now), Snapshot: snapshot, Prior: t.priorRun(c.now), Sending: r.sending, Gang: options.gang,
		Start: runner.Start{
			Task: t.id(), Run: number, Payload: t.step.job.spec.Payload,
			LeaseUntil: c.s.leaseFor(c.now, w, c.lease), Token: w.token, Checkpoint: t.checkpoint, Permit: permit,
		},
	}
	if t.crashed() || t.mayHaveEnded() {
		c.s.holdStart(r, order)
		return
	}
	c.starts = append(c.starts, order)
}

// reservedOneIn bounds the reserved workers: one in reservedOneIn of the usable
// ones, so that steps that fit nowhere can't idle the pool.
const reservedOneIn = 8

// reserveCapacity reserves the worker with the most free processors for a step
// that fits nowhere, so that smaller tasks behind it don't take each gap. A
// worker qualifies if the step fits once all runs that end by themselves have.
func (c *cycle) reserveCapacity(st *step) {
	if c.s.cfg.Disabled.Has(mechanism.ReservedCapacity) || st.spec.BestEffort || c.reservedCount >= max(1, len(c.workers)/reservedOneIn) {
		return
	}
	var best *worker
	needs := st.spec.Reserved()
	c.visits += len(c.workers) / cheapVisits
	// Many steps may fit nowhere in the same cycle, so the cheapest checks come first.
	for _, w := range c.workers {
		if c.reserved[w.index] || (best != nil && w.free.MilliCPU <= best.free.MilliCPU) || !needs.Fits(w.eventuallyFree()) {
			continue
		}
		if c.allowed(st, w) && !c.atPerWorkerLimit(st, w) {
			best = w
		}
	}
	if best != nil {
		c.reserveWorker(best)
	}
}
