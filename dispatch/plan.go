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

// waiting is a step with tasks that may start, and its place in the queue.
type waiting struct {
	entry queue.Entry
	step  *step
}

// Plan decides what to order now.
func (s *State) Plan(now time.Time) Plan { return s.PlanAtMost(now, math.MaxInt) }

// PlanAtMost decides what to order now, with at most so many starts, those first
// that are first in the queue. What isn't ordered reserves no room. A gang that
// has begun to fit within them is ordered whole.
func (s *State) PlanAtMost(now time.Time, starts int) Plan {
	s.ExpireLeases(now)
	s.drain(now)
	var p Plan
	p.CPULimits = s.pace(now)
	c := newCycle(s, now)
	c.most = starts
	list := s.waiting(now)
	c.rooms(list)
	for _, w := range list {
		if c.full() {
			p.StartLimitReached = true
			break
		}
		c.placeStep(w.step)
	}
	if !c.full() {
		c.copySlow()
	}
	p.Starts = c.starts
	p.Stops, s.stops = s.stops, nil
	return p
}

// waiting returns the steps with tasks that may start, best first.
func (s *State) waiting(now time.Time) []*waiting {
	var list []*waiting
	for _, j := range s.open {
		if !j.rowStored || s.gathering(now, j) {
			continue
		}
		for _, o := range j.occurrences {
			if o.undone == 0 || o.due.After(now) {
				continue
			}
			for _, st := range o.steps {
				if st.ready() {
					list = append(list, &waiting{entry: s.entryOf(st), step: st})
				}
			}
		}
	}
	compare := queue.Compare
	if s.cfg.Disabled.Has(mechanism.Timeliness) {
		compare = queue.CompareArrival
	}
	slices.SortFunc(list, func(a, b *waiting) int { return compare(&a.entry, &b.entry, now) })
	return list
}

// entryOf describes a step to the queue.
func (s *State) entryOf(st *step) queue.Entry {
	j, o := st.job, st.occurrence
	rest := j.path[st.index]
	return queue.Entry{
		Priority:    j.queue.Priority,
		Restart:     st.spec.LongRunning && st.began(),
		LongRunning: st.spec.LongRunning && !st.began() && !s.cfg.Disabled.Has(mechanism.SpreadFirst), MaxPerWorker: st.spec.MaxPerWorker,
		LatestStart:       j.objective(o).Add(-rest),
		LatestUsefulStart: j.lateLimit(o).Add(-rest),
		Arrived:           o.due,
		RemainingWork:     int64(st.undone) * st.spec.Needs.MilliCPU * st.spec.Estimate.Milliseconds() / 1000,
		ID:                j.spec.ID,
	}
}

// cycle is one planning cycle over the workers as they are now.
type cycle struct {
	s       *State
	now     time.Time
	workers []*worker
	// kept marks workers, by slot, whose room is kept for a step that is before
	// others in the queue and fits nowhere yet; keeps counts them.
	kept   []bool
	keeps  int
	starts []StartOrder
	// most bounds the starts.
	most   int
	pools  map[string]*room
	wanted *wanted
	// tries counts the steps that others were asked to give way to.
	tries int
	// spare is the storage of the last step's shortlist.
	spare ranked
	// noRoom holds, by kind, the needs that fit nowhere in this cycle.
	noRoom map[kindKey][]infra.Resources
}

// newCycle collects the workers that may take tasks, in the order of IDs.
func newCycle(s *State, now time.Time) *cycle {
	c := &cycle{
		s: s, now: now, noRoom: map[kindKey][]infra.Resources{}, wanted: s.wantedNow(now),
		workers: make([]*worker, 0, len(s.workers)), most: math.MaxInt,
	}
	for _, w := range s.byID() {
		if w.usable(now) && w.rostered && !w.clockAt.IsZero() {
			c.workers = append(c.workers, w)
		}
	}
	c.kept = make([]bool, len(c.workers))
	for i, w := range c.workers {
		w.slot = i
	}
	return c
}

// full reports whether as many starts are ordered as may be.
func (c *cycle) full() bool { return len(c.starts) >= c.most }

// keep keeps a worker's room from steps later in the queue.
func (c *cycle) keep(w *worker) {
	if !c.kept[w.slot] {
		c.kept[w.slot] = true
		c.keeps++
	}
}

// placeStep starts as many of a step's tasks as fit.
func (c *cycle) placeStep(st *step) {
	if st.spec.Gang {
		c.placeGang(st)
		return
	}
	var list *shortlist // made when the first task needs it
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || len(t.runs) > 0 {
			continue
		}
		if !c.settled(t) || !c.mayBegin(t) {
			continue
		}
		if c.full() {
			return
		}
		var w *worker
		if len(t.failedOn) > 0 {
			w, list = c.choose(t, nil), nil // it avoids workers that others don't
		} else {
			if list == nil {
				list = c.shortlist(st)
			}
			w = list.best()
		}
		if w == nil {
			c.makeRoom(st)
			c.keepRoom(st)
			return // its other tasks need as much
		}
		st.blockedSince = time.Time{}
		c.s.nextRun++
		c.start(t, w, c.s.nextRun)
		if list != nil {
			list.placed()
		}
	}
}

// settled reports whether no other run of a task can be alive. What the store
// says of its runs must be out of date nowhere: a later owner goes by it. And
// while workers haven't reported to this owner, a task that it inherited may
// be alive on one of them, unless the store names others.
func (c *cycle) settled(t *task) bool {
	j := t.step.job
	if j.inherited && !t.known {
		if len(c.s.awaited) > 0 && len(t.marks) == 0 {
			return false
		}
		for _, w := range c.s.awaited {
			if slices.Contains(t.marks, w.mark) {
				return false
			}
		}
		t.known = true
	}
	if len(t.marks) > 0 {
		c.s.touch(j)
		j.urgent = true
		return false
	}
	return true
}

// start reserves the room and gives the order.
func (c *cycle) start(t *task, w *worker, number uint64) {
	r := &run{
		task: t, number: number, token: w.token, worker: w, phase: ordered,
		since: c.now, reserved: t.step.spec.Reserved(), pace: fullPace,
	}
	known := w.evidence(c.now)
	w.add(r)
	if p := c.pools[w.info.Pool]; p != nil {
		p.free -= r.reserved.MilliCPU
	}
	t.attach(r)
	t.step.job.ledger.Starts++
	c.s.touch(t.step.job)
	permit, _ := t.step.ticketFor(c.now, w)
	c.starts = append(c.starts, StartOrder{
		Worker: w.info, Snapshot: known,
		Start: runner.Start{
			Task: t.id(), Run: number, Payload: t.step.job.spec.Payload,
			LeaseUntil: c.s.leaseFor(c.now, w), Token: w.token, Checkpoint: t.saved, Permit: permit,
		},
	})
}

// keptShare bounds the workers whose room is kept for steps that wait: one in
// keptShare, so that a job that fits nowhere can't idle the pool.
const keptShare = 8

// keepRoom keeps the worker that will soonest have room for a step from those
// behind it in the queue: without this, small tasks take each gap before a
// large one fits. Room that long-running tasks hold never comes.
func (c *cycle) keepRoom(st *step) {
	if c.s.cfg.Disabled.Has(mechanism.ReservedCapacity) || st.spec.BestEffort || c.keeps >= max(1, len(c.workers)/keptShare) {
		return
	}
	var best *worker
	needs := st.spec.Reserved()
	for _, w := range c.workers {
		if c.kept[w.slot] || !c.allowed(st, w) || c.crowded(st, w) || !needs.Fits(c.view(w).inTime) {
			continue
		}
		if best == nil || w.free.MilliCPU > best.free.MilliCPU {
			best = w
		}
	}
	if best != nil {
		c.keep(best)
	}
}
