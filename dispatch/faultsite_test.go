package dispatch_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

const (
	faultWorkers = 6
	// orderTimeout is when an order without an answer is given up.
	orderTimeout = 500 * time.Millisecond
	// listLag is how long a life that is over stays on the membership list.
	listLag = 3 * time.Second
	// aloneAfter is how long a gang's member waits for the others.
	aloneAfter = 4 * time.Second
)

// faultSite is a scheduling domain whose workers, orders, store and owner
// fail at random. A seed gives the same course each time.
type faultSite struct {
	*rig
	random *rand.Rand
	// calm is set once nothing fails any more.
	calm  bool
	lives []*faultWorker
	// later are things that come to pass at a time.
	later      []pending
	looking    map[string]bool
	committing bool
	// storeAwayUntil is until when nothing becomes durable.
	storeAwayUntil time.Time
	// done holds the tasks whose end as done is durable.
	done map[workload.TaskID]bool
}

// pending is something that comes to pass at a time.
type pending struct {
	at time.Time
	do func()
}

// newFaultSite returns a site of workers that nobody has looked at.
func newFaultSite(t *testing.T, seed uint64) *faultSite {
	s := &faultSite{
		rig:    &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}},
		random: rand.New(rand.NewPCG(seed, 7)), looking: map[string]bool{}, done: map[workload.TaskID]bool{},
	}
	s.began = s.now
	s.own(1)
	for range faultWorkers {
		s.join()
	}
	return s
}

// join adds a life.
func (s *faultSite) join() {
	s.lives = append(s.lives, newFaultWorker(fmt.Sprint("life", len(s.lives))))
}

// life returns a life by its ID.
func (s *faultSite) life(id string) *faultWorker {
	i := slices.IndexFunc(s.lives, func(w *faultWorker) bool { return w.info.ID == id })
	return s.lives[i]
}

// living returns the lives that aren't over.
func (s *faultSite) living() []*faultWorker {
	return slices.DeleteFunc(slices.Clone(s.lives), func(w *faultWorker) bool { return !w.overAt.IsZero() })
}

// chance reports true with the given probability while things fail.
func (s *faultSite) chance(p float64) bool { return !s.calm && s.random.Float64() < p }

// between returns a random time.
func (s *faultSite) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// after has something come to pass later.
func (s *faultSite) after(d time.Duration, do func()) {
	s.later = append(s.later, pending{at: s.now.Add(d), do: do})
}

// run lets time pass.
func (s *faultSite) run(d time.Duration) {
	for range d / testTick {
		s.pass(testTick)
		s.happen()
		s.workAll()
		s.trouble()
		s.list()
		s.commit()
		s.order(s.state.Plan(s.now))
		s.state.EachWorker(func(id string) {
			if !s.looking[id] && s.state.RenewalReady(s.now, id) {
				s.looking[id] = true
				s.look(id, func() { s.looking[id] = false })
			}
		})
		s.check()
	}
}

// happen runs what is due, in order.
func (s *faultSite) happen() {
	slices.SortStableFunc(s.later, func(a, b pending) int { return a.at.Compare(b.at) })
	for len(s.later) > 0 && !s.later[0].at.After(s.now) {
		next := s.later[0]
		s.later = s.later[1:]
		next.do()
	}
}

// workAll has all workers work.
func (s *faultSite) workAll() {
	for _, w := range s.living() {
		w.work(s.now, s.clock())
		if !w.leavesAt.IsZero() && !s.now.Before(w.leavesAt) {
			w.die(s.now, false)
		}
	}
	s.workGangs()
}

// workGangs has the members of gangs work where all of a run are there.
func (s *faultSite) workGangs() {
	type group struct {
		job  string
		run  uint64
		step int
	}
	members := map[group]int{}
	each := func(do func(w *faultWorker, id workload.TaskID, r *faultRun, g group)) {
		for _, w := range s.living() {
			for _, id := range w.tasks() {
				if r := w.runs[id]; r.step.Gang {
					do(w, id, r, group{id.Job, r.number, id.Step})
				}
			}
		}
	}
	each(func(_ *faultWorker, _ workload.TaskID, _ *faultRun, g group) { members[g]++ })
	each(func(w *faultWorker, id workload.TaskID, r *faultRun, g group) {
		age := s.now.Sub(r.began)
		switch {
		case members[g] == r.step.Tasks && age >= r.need:
			w.end(id, runner.EndDone)
		case members[g] < r.step.Tasks && age >= aloneAfter:
			w.end(id, runner.EndGangTimeout)
		}
	})
}

// trouble has things fail.
func (s *faultSite) trouble() {
	if s.calm {
		return
	}
	for _, w := range s.living() {
		switch {
		case s.chance(0.004):
			w.darkUntil = s.now.Add(s.between(time.Second, 12*time.Second))
		case s.chance(0.002) && s.now.After(w.hiddenUntil.Add(listLag)): // one that lives is back within 2 s
			w.hiddenUntil = s.now.Add(s.between(time.Second, 2*time.Second))
		case s.chance(0.002):
			w.die(s.now, s.random.Float64() < 0.5)
			s.join()
		case s.chance(0.002) && w.leavesAt.IsZero():
			w.leavesAt = s.now.Add(s.between(2*time.Second, 6*time.Second))
			s.join()
		}
	}
	switch {
	case s.chance(0.004):
		s.storeAwayUntil = s.now.Add(s.between(time.Second, 5*time.Second))
	case s.chance(0.006):
		s.replaceOwner()
	}
}

// replaceOwner has another owner take over from what is durable.
func (s *faultSite) replaceOwner() {
	var roster []string
	for key, value := range s.rows {
		if !strings.HasPrefix(key, dispatch.RosterPrefix) {
			continue
		}
		var row dispatch.RosterRow
		if err := msgpack.Unmarshal(value, &row); err != nil {
			s.t.Fatal(err)
		}
		for _, w := range row.Workers {
			roster = append(roster, w.ID)
		}
	}
	slices.Sort(roster)
	s.committing = false
	clear(s.looking)
	s.takeOver(roster...)
}

// list has the owner read the membership list.
func (s *faultSite) list() {
	var list []runner.Worker
	for _, w := range s.lives {
		if (!w.overAt.IsZero() && s.now.Sub(w.overAt) > listLag) || s.now.Before(w.hiddenUntil) {
			continue
		}
		m := w.info
		if !w.leavesAt.IsZero() {
			m.Draining, m.LeavesIn = true, max(w.leavesAt.Sub(s.now), 0)
		}
		list = append(list, m)
	}
	s.state.SetMembers(s.now, list)
}

// commit makes durable what has changed, a little later.
func (s *faultSite) commit() {
	if s.committing || !s.state.HasUnflushedChanges() || s.now.Before(s.storeAwayUntil) {
		return
	}
	b, err := s.state.Flush(s.now, 98)
	if err != nil {
		s.t.Fatal(err)
	}
	s.committing = true
	state := s.state
	s.after(s.between(0, 3*testTick), func() {
		if s.state != state {
			return // the owner was replaced before
		}
		s.committing = false
		s.apply(b)
	})
}

// carry brings an order to a worker, or not, and its answer back, or not.
func (s *faultSite) carry(id string, do func(w *faultWorker) runner.Status, answered func(runner.Status)) {
	w := s.life(id)
	there, back := s.between(0, testTick), s.between(0, 3*testTick)
	reach := func() (status runner.Status) {
		switch {
		case w.reborn:
			return runner.Restarted
		case !w.reachable(s.now):
			return runner.Unknown
		default:
			return do(w)
		}
	}
	lost := func() { s.after(orderTimeout, func() { answered(runner.Unknown) }) }
	switch {
	case s.chance(0.06): // carried out, the answer is lost
		s.after(there, func() { reach() })
		lost()
	case s.chance(0.04): // never carried out
		lost()
	case s.chance(0.05): // carried out late
		s.after(s.between(2*time.Second, 12*time.Second), func() { reach() })
		lost()
	case s.chance(0.04):
		s.after(back, func() { answered(runner.Unhealthy) })
	default:
		s.after(there, func() {
			status := reach()
			if status == runner.Unknown {
				lost()
				return
			}
			s.after(back, func() { answered(status) })
		})
	}
}

// order has a plan carried out.
func (s *faultSite) order(p dispatch.Plan) {
	state := s.state
	slices.SortFunc(p.Stops, func(a, b dispatch.StopOrder) int { return cmp.Compare(a.Stop.Run, b.Stop.Run) })
	for _, o := range p.Stops {
		s.carry(o.Worker.ID, func(w *faultWorker) runner.Status { return w.stop(o.Stop) }, func(status runner.Status) {
			state.HandleStopAnswer(s.now, o, runner.Answer{Status: status, ClockMS: s.clock()})
		})
	}
	for _, o := range p.Starts {
		s.carry(o.Worker.ID, func(w *faultWorker) runner.Status { return s.start(w, o) }, func(status runner.Status) {
			if state.HandleStartAnswer(s.now, o, runner.Answer{Status: status, ClockMS: s.clock()}) && s.state == state {
				s.look(o.Worker.ID, func() {})
			}
		})
	}
}

// start has a worker carry a start out.
func (s *faultSite) start(w *faultWorker, o dispatch.StartOrder) runner.Status {
	i := slices.IndexFunc(s.jobs, func(j *workload.Job) bool { return j.ID == o.Start.Task.Job })
	step := &s.jobs[i].Steps[o.Start.Task.Step]
	run := &faultRun{
		number: o.Start.Run, step: step, began: s.now, need: step.Estimate,
		fails: s.chance(0.05),
	}
	if s.chance(0.1) {
		run.need *= 8 // slow: a copy is made of it where it may be
	}
	status := w.start(s.clock(), o.Start, run)
	if status == runner.Done && s.done[o.Start.Task] && !step.Speculative && !step.LongRunning {
		s.t.Errorf("%v was started after its end as done was durable", o.Start.Task)
	}
	return status
}

// look has a worker looked at.
func (s *faultSite) look(id string, over func()) {
	state := s.state
	_, renewal, ok := state.Renewal(s.now, id, true)
	if !ok {
		over()
		return
	}
	var rep runner.Report
	s.carry(id, func(w *faultWorker) (status runner.Status) {
		s.note(w, renewal.Acknowledged)
		status, rep = w.hold(s.clock(), renewal)
		return status
	}, func(status runner.Status) {
		if s.state != state {
			return
		}
		over()
		a := runner.Answer{Status: status, ClockMS: rep.ClockMS}
		if status != runner.Done {
			rep = runner.Report{}
		}
		state.HandleReport(s.now, id, renewal, a, rep)
	})
}

// note keeps which tasks are durably done.
func (s *faultSite) note(w *faultWorker, acknowledged uint64) {
	for _, e := range w.ends {
		if e.Number <= acknowledged && e.Kind == runner.EndDone {
			s.done[e.Task] = true
		}
	}
}
