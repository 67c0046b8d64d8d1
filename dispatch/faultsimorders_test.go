package dispatch_test

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// deliver sends an order to a worker, where do carries it out, and passes the
// answer to answered. The order or the answer may be delayed or lost; without an
// answer, answered gets runner.Unknown after orderTimeout.
func (s *faultSim) deliver(to runner.Worker, do func(w *faultWorker) runner.Status, answered func(runner.Answer)) {
	s.deliverIf(to, func() bool { return true }, do, answered)
}

// deliverIf is like deliver, but the order arrives only if arrives returns true at
// that time.
func (s *faultSim) deliverIf(to runner.Worker, arrives func() bool, do func(w *faultWorker) runner.Status, answered func(runner.Answer)) {
	w := s.worker(to.ID)
	toWorker, toOwner := s.between(0, testTick), s.between(0, 3*testTick)
	execute := func() runner.Answer {
		switch {
		case !arrives():
			return runner.Answer{}
		case w.restarted, w.returning.elsewhere(to.Address, w.info.Address):
			return runner.Answer{Status: runner.Restarted}
		case !w.reachable(s.now), w.info.Address != to.Address:
			return runner.Answer{}
		default:
			return s.answer(w, do(w))
		}
	}
	timeOut := func() { s.after(orderTimeout, func() { answered(runner.Answer{}) }) }
	switch {
	case s.returns != nil && s.chance(lateInReturns): // carried out late, maybe by the next life
		s.after(s.between(0, latestOrder), func() { execute() })
		timeOut()
	case s.chance(0.06): // carried out, the answer is lost
		s.after(toWorker, func() { execute() })
		timeOut()
	case s.chance(0.04): // never carried out
		timeOut()
	case s.chance(0.05): // carried out late
		s.after(s.between(2*time.Second, 12*time.Second), func() { execute() })
		timeOut()
	case s.chance(0.04):
		s.after(toOwner, func() { answered(runner.Answer{Status: runner.Unhealthy}) })
	default:
		s.after(toWorker, func() {
			a := execute()
			if a.Status == runner.Unknown || w.returning.muted(s.now) {
				timeOut()
				return
			}
			if s.returns != nil && s.chance(lateAnswer) {
				toOwner = s.between(0, latestAnswer)
			}
			s.after(toOwner, func() { answered(a) })
		})
	}
}

// sendOrders sends the orders of a plan.
func (s *faultSim) sendOrders(p dispatch.Plan) {
	s.sawPlan(p)
	state := s.state
	slices.SortFunc(p.Stops, func(a, b dispatch.StopOrder) int { return cmp.Compare(a.Stop.Run, b.Stop.Run) })
	for _, o := range p.Stops {
		s.deliver(o.Worker, func(w *faultWorker) runner.Status { return w.stop(o.Stop) }, func(a runner.Answer) {
			state.HandleStopAnswer(s.now, o, a)
		})
	}
	for _, o := range p.Starts {
		s.tracef(o.Start.Task, "epoch %d orders run %d on %s under token %d, prior %v", s.epoch, o.Start.Run, o.Worker.ID, o.Start.Token, o.Prior)
		answered := func(a runner.Answer) {
			if state.HandleStartAnswer(s.now, o, a) && s.state == state {
				s.poll(o.Worker.ID, func() {})
			}
		}
		s.sendFromQueue(o, answered, func() {
			sent := s.send(o)
			s.deliver(o.Worker, func(w *faultWorker) runner.Status { return s.startOnce(w, sent, s.startOn) }, answered)
		})
	}
}

// sendFromQueue sends a start after it has waited at the sender, unless it was withdrawn
// meanwhile. It fails the test if a start is sent though its job has durably ended or its
// zone is closed.
func (s *faultSim) sendFromQueue(o dispatch.StartOrder, answered func(runner.Answer), send func()) {
	if !s.queueStarts {
		send()
		return
	}
	state := s.state
	o.Sending.Queue()
	s.after(s.between(0, maxQueueDelay), func() {
		if s.state != state {
			return // its process has ended
		}
		if !o.Sending.Begin() {
			answered(runner.Answer{Status: runner.Fenced})
			return
		}
		if job, ok := state.JobState(o.Start.Task.Job); ok && job.Final() {
			s.t.Errorf("the start of %v was sent though its job is %v", o.Start.Task, job)
		}
		if s.closed.Contains(o.Worker.Zone) {
			s.t.Errorf("the start of %v was sent to %s in %s, which is closed", o.Start.Task, o.Worker.ID, o.Worker.Zone)
		}
		send()
	})
}

// startOn carries out a start order on a worker, with a run that fails or is slow
// at random. It fails the test if the task's successful end is already durable.
func (s *faultSim) startOn(w *faultWorker, o dispatch.StartOrder) runner.Status {
	i := slices.IndexFunc(s.jobs, func(j *workload.Job) bool { return j.ID == o.Start.Task.Job })
	step := &s.jobs[i].Steps[o.Start.Task.Step]
	run := &faultRun{
		number: o.Start.Run, step: step, startedAt: s.now, duration: step.Estimate,
		fails: s.chance(0.05), unguarded: s.unguarded,
	}
	if s.chance(0.1) {
		run.duration *= 8 // slow: a speculative task gets a copy
	}
	status := w.start(w.clock(s.now), o.Start, run)
	s.tracef(o.Start.Task, "%s answers %v to run %d", w.describe(), status, o.Start.Run)
	if status == runner.Done && s.durablyDone[o.Start.Task] && !step.Speculative && !step.LongRunning {
		s.t.Errorf("%v was started after its successful end was durable%s", o.Start.Task, s.returnTraceOf(o.Start.Task))
	}
	if status == runner.Done && s.started != nil {
		s.started(w, o.Start.Task)
	}
	return status
}

// poll polls a worker and calls done after the answer or the timeout, unless the
// owner was replaced meanwhile.
func (s *faultSim) poll(id string, done func()) {
	state := s.state
	to, renewal, ok := state.Renewal(s.now, id, testLease)
	if !ok {
		done()
		return
	}
	var rep runner.Report
	var life runner.Incarnation
	s.deliver(to, func(w *faultWorker) (status runner.Status) {
		status, rep = s.renewOn(w, renewal)
		life = w.info.Incarnation
		return status
	}, func(a runner.Answer) {
		if s.state != state {
			return
		}
		done()
		if a.Status == runner.Done {
			a.Incarnation = life
		} else {
			rep = runner.Report{}
		}
		for _, e := range state.HandleReport(s.now, id, renewal, a, rep) {
			s.tracef(e.Task, "epoch %d records the end of run %d on %s: %v", s.epoch, e.Run, id, e.Kind)
		}
	})
}

// answer returns a worker's answer to an order that it has carried out or refused now.
func (s *faultSim) answer(w *faultWorker, status runner.Status) runner.Answer {
	return runner.Answer{Status: status, ClockMS: w.clock(s.now)}
}

// renewOn carries a renewal out on a worker, records the ends that it acknowledges, and
// checks them.
func (s *faultSim) renewOn(w *faultWorker, o runner.Renewal) (runner.Status, runner.Report) {
	if s.returns == nil || o.Token >= w.token {
		s.recordDurable(w, o.Acknowledged)
		s.checkForgotten(w, o)
	}
	s.traceLongLease(w, o)
	status, rep := w.renew(w.clock(s.now), o)
	if s.returns != nil {
		s.random.Shuffle(len(rep.Ends), func(i, j int) { rep.Ends[i], rep.Ends[j] = rep.Ends[j], rep.Ends[i] })
	}
	return status, rep
}

// recordDurable records the tasks whose successful end is acknowledged.
func (s *faultSim) recordDurable(w *faultWorker, acknowledged uint64) {
	for _, e := range w.ends {
		if e.Number <= acknowledged && e.Kind == runner.EndDone {
			s.durablyDone[e.Task] = true
		}
	}
}
