package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/closedzones"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

const (
	faultWorkers = 6
	// orderTimeout is the timeout for an order's answer.
	orderTimeout = 500 * time.Millisecond
	// listLag is how long a terminated incarnation stays on the membership
	// list.
	listLag = 3 * time.Second
	// gangTimeout is how long a gang's member waits for the others.
	gangTimeout = 4 * time.Second
	// maxQueueDelay is the longest time for which a start waits at its sender.
	maxQueueDelay = 2 * time.Second
)

// faultSim simulates a scheduling domain whose workers, orders, store and owner
// fail at random. The course of events is determined by the seed.
type faultSim struct {
	*rig
	random *rand.Rand
	// noFaults stops the injection of faults.
	noFaults bool
	workers  []*faultWorker
	// scheduled holds future events.
	scheduled  []scheduledEvent
	polling    map[string]bool
	committing bool
	// commitBegan is when the last commit began.
	commitBegan time.Time
	// storeDownUntil is the time before which no commit begins.
	storeDownUntil time.Time
	// durablyDone holds the tasks whose successful end is durable.
	durablyDone map[workload.TaskID]bool
	// unguarded makes workers start whatever they are ordered to; their capacities may
	// change and are checked by the test.
	unguarded bool
	// queueStarts makes starts wait at their sender, where they can be withdrawn.
	queueStarts bool
	// closed is the set of closed zones that each owner is told.
	closed closedzones.Set
	// started is called after each start that a worker carried out; it may be nil.
	started func(w *faultWorker, id workload.TaskID)
	// returns makes workers crash and start again under their IDs, nil if none does.
	returns *workerReturns
	trace   []traceLine
}

// scheduledEvent is a function to run at a given time.
type scheduledEvent struct {
	at  time.Time
	run func()
}

// newFaultSim returns a simulation whose workers haven't been polled.
func newFaultSim(t *testing.T, seed uint64) *faultSim {
	s := &faultSim{
		rig:    &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}},
		random: rand.New(rand.NewPCG(seed, 7)), polling: map[string]bool{}, durablyDone: map[workload.TaskID]bool{},
	}
	s.startedAt = s.now
	s.startOwner(1)
	for range faultWorkers {
		s.addWorker()
	}
	return s
}

// addWorker adds a worker with a new ID.
func (s *faultSim) addWorker() {
	w := newFaultWorker(fmt.Sprint("worker", len(s.workers)))
	w.bornAt = s.startedAt
	s.workers = append(s.workers, w)
	if s.returns != nil {
		s.beginFirstLife(w)
	}
}

// worker returns an incarnation by its ID.
func (s *faultSim) worker(id string) *faultWorker {
	i := slices.IndexFunc(s.workers, func(w *faultWorker) bool { return w.info.ID == id })
	return s.workers[i]
}

// alive returns the incarnations that haven't terminated.
func (s *faultSim) alive() []*faultWorker {
	return slices.DeleteFunc(slices.Clone(s.workers), func(w *faultWorker) bool { return !w.terminatedAt.IsZero() })
}

// chance returns true with probability p, and false once faults are off.
func (s *faultSim) chance(p float64) bool { return !s.noFaults && s.random.Float64() < p }

// between returns a random duration.
func (s *faultSim) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// after schedules a function to run in d.
func (s *faultSim) after(d time.Duration, do func()) {
	s.scheduled = append(s.scheduled, scheduledEvent{at: s.now.Add(d), run: do})
}

// run advances the simulation by d.
func (s *faultSim) run(d time.Duration) {
	for range d / testTick {
		s.advance(testTick)
		s.runScheduled()
		s.advanceWorkers()
		s.injectFaults()
		s.updateMembers()
		s.commit()
		s.sendOrders(s.state.Plan(s.now))
		s.state.EachWorker("", func(id string) bool {
			if !s.polling[id] && s.state.RenewalReady(s.now, id) {
				s.polling[id] = true
				s.poll(id, func() { s.polling[id] = false })
			}
			return true
		})
		s.watchSentStarts()
		s.checkInvariants()
	}
}

// runScheduled runs the events that are due, in order.
func (s *faultSim) runScheduled() {
	slices.SortStableFunc(s.scheduled, func(a, b scheduledEvent) int { return a.at.Compare(b.at) })
	for len(s.scheduled) > 0 && !s.scheduled[0].at.After(s.now) {
		next := s.scheduled[0]
		s.scheduled = s.scheduled[1:]
		next.run()
	}
}

// advanceWorkers advances the runs of all workers.
func (s *faultSim) advanceWorkers() {
	for _, w := range s.alive() {
		w.advance(s.now, w.clock(s.now))
		if !w.leavesAt.IsZero() && !s.now.Before(w.leavesAt) {
			w.terminate(s.now, false)
		}
	}
	s.advanceGangs()
}

// advanceGangs ends the gangs that are complete and old enough, and the members
// that waited too long for the others.
func (s *faultSim) advanceGangs() {
	type group struct {
		job  string
		run  uint64
		step int
	}
	members := map[group]int{}
	each := func(do func(w *faultWorker, id workload.TaskID, r *faultRun, g group)) {
		for _, w := range s.alive() {
			for _, id := range w.tasks() {
				if r := w.runs[id]; r.step.Gang {
					do(w, id, r, group{id.Job, r.number, id.Step})
				}
			}
		}
	}
	each(func(_ *faultWorker, _ workload.TaskID, _ *faultRun, g group) { members[g]++ })
	each(func(w *faultWorker, id workload.TaskID, r *faultRun, g group) {
		age := s.now.Sub(r.startedAt)
		switch {
		case members[g] == r.step.Tasks && age >= r.duration:
			w.endRun(id, runner.EndDone)
		case members[g] < r.step.Tasks && age >= gangTimeout:
			w.endRun(id, runner.EndGangTimeout)
		}
	})
}

// injectFaults causes random faults.
func (s *faultSim) injectFaults() {
	if s.noFaults {
		return
	}
	for _, w := range s.alive() {
		if s.returns != nil && s.chance(returnFault) {
			s.disturbLife(w)
			continue
		}
		switch {
		case s.chance(0.004):
			w.unreachableUntil = s.now.Add(s.between(time.Second, 12*time.Second))
			s.tracef(workload.TaskID{}, "%s is unreachable for %.1f s", w.info.ID, w.unreachableUntil.Sub(s.now).Seconds())
		case s.chance(0.002) && s.now.After(w.unlistedUntil.Add(listLag)): // a live worker is listed again within 2 s
			w.unlistedUntil = s.now.Add(s.between(time.Second, 2*time.Second))
		case s.chance(0.002):
			w.terminate(s.now, s.random.Float64() < 0.5)
			s.tracef(workload.TaskID{}, "%s terminates", w.info.ID)
			s.addWorker()
		case s.chance(0.002) && w.leavesAt.IsZero():
			w.leavesAt = s.now.Add(s.between(2*time.Second, 6*time.Second))
			s.addWorker()
		}
	}
	switch {
	case s.chance(0.004):
		s.storeDownUntil = s.now.Add(s.between(time.Second, 5*time.Second))
	case s.chance(0.006):
		s.replaceOwner()
	}
}

// replaceOwner makes a new owner take over with the committed rows.
func (s *faultSim) replaceOwner() {
	s.committing = false
	clear(s.polling)
	s.takeOver(s.roster()...)
	s.tracef(workload.TaskID{}, "epoch %d takes over", s.epoch)
	s.state.SetClosedZones(s.now, s.closed)
	s.ownerStopped(s.epoch - 1) // its process has terminated
}

// updateMembers passes the membership list to the owner.
func (s *faultSim) updateMembers() {
	var list []runner.Worker
	for _, w := range s.workers {
		if (!w.terminatedAt.IsZero() && s.now.Sub(w.terminatedAt) > listLag) || s.now.Before(w.unlistedUntil) {
			continue
		}
		m, listed := w.listing(s.now)
		if !listed {
			continue // its entry has lapsed
		}
		if !w.leavesAt.IsZero() {
			m.Draining, m.LeavesIn = true, max(w.leavesAt.Sub(s.now), 0)
		}
		list = append(list, m)
	}
	s.state.SetMembers(s.now, list)
}

// commit flushes changes and makes them durable after a delay.
func (s *faultSim) commit() {
	due := s.state.HasUnflushedChanges() || s.state.AwaitsConfirmation() || s.now.Sub(s.commitBegan) >= heartbeatInterval
	if s.committing || !due || s.now.Before(s.storeDownUntil) {
		return
	}
	b, err := s.state.Flush(s.now, 98)
	if err != nil {
		s.t.Fatal(err)
	}
	s.committing, s.commitBegan = true, s.now
	state, began := s.state, s.now
	s.after(s.between(0, 3*testTick), func() {
		if s.state != state {
			return // the owner was replaced meanwhile
		}
		s.committing = false
		s.applyCommit(b, began)
	})
}
