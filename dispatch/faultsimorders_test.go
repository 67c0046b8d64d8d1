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
// status of the answer to answered. The order or the answer may be delayed or
// lost; without an answer, answered gets runner.Unknown after orderTimeout.
func (s *faultSim) deliver(id string, do func(w *faultWorker) runner.Status, answered func(runner.Status)) {
	s.deliverIf(id, func() bool { return true }, do, answered)
}

// deliverIf is like deliver, but the order arrives only if arrives returns true at
// that time.
func (s *faultSim) deliverIf(id string, arrives func() bool, do func(w *faultWorker) runner.Status, answered func(runner.Status)) {
	w := s.worker(id)
	toWorker, toOwner := s.between(0, testTick), s.between(0, 3*testTick)
	execute := func() (status runner.Status) {
		switch {
		case !arrives():
			return runner.Unknown
		case w.restarted:
			return runner.Restarted
		case !w.reachable(s.now):
			return runner.Unknown
		default:
			return do(w)
		}
	}
	timeOut := func() { s.after(orderTimeout, func() { answered(runner.Unknown) }) }
	switch {
	case s.chance(0.06): // carried out, the answer is lost
		s.after(toWorker, func() { execute() })
		timeOut()
	case s.chance(0.04): // never carried out
		timeOut()
	case s.chance(0.05): // carried out late
		s.after(s.between(2*time.Second, 12*time.Second), func() { execute() })
		timeOut()
	case s.chance(0.04):
		s.after(toOwner, func() { answered(runner.Unhealthy) })
	default:
		s.after(toWorker, func() {
			status := execute()
			if status == runner.Unknown {
				timeOut()
				return
			}
			s.after(toOwner, func() { answered(status) })
		})
	}
}

// sendOrders sends the orders of a plan.
func (s *faultSim) sendOrders(p dispatch.Plan) {
	s.sawPlan(p)
	state := s.state
	slices.SortFunc(p.Stops, func(a, b dispatch.StopOrder) int { return cmp.Compare(a.Stop.Run, b.Stop.Run) })
	for _, o := range p.Stops {
		s.deliver(o.Worker.ID, func(w *faultWorker) runner.Status { return w.stop(o.Stop) }, func(status runner.Status) {
			state.HandleStopAnswer(s.now, o, runner.Answer{Status: status, ClockMS: s.clock()})
		})
	}
	for _, o := range p.Starts {
		answered := func(status runner.Status) {
			if state.HandleStartAnswer(s.now, o, runner.Answer{Status: status, ClockMS: s.clock()}) && s.state == state {
				s.poll(o.Worker.ID, func() {})
			}
		}
		s.sendFromQueue(o, answered, func() {
			s.deliver(o.Worker.ID, func(w *faultWorker) runner.Status { return s.startOn(w, o) }, answered)
		})
	}
}

// sendFromQueue sends a start after it has waited at the sender, unless it was withdrawn
// meanwhile. It fails the test if a start is sent though its job has durably ended or its
// zone is closed.
func (s *faultSim) sendFromQueue(o dispatch.StartOrder, answered func(runner.Status), send func()) {
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
			answered(runner.Fenced)
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
	status := w.start(s.clock(), o.Start, run)
	if status == runner.Done && s.durablyDone[o.Start.Task] && !step.Speculative && !step.LongRunning {
		s.t.Errorf("%v was started after its successful end was durable", o.Start.Task)
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
	_, renewal, ok := state.Renewal(s.now, id, true)
	if !ok {
		done()
		return
	}
	var rep runner.Report
	s.deliver(id, func(w *faultWorker) (status runner.Status) {
		s.recordDurable(w, renewal.Acknowledged)
		status, rep = w.renew(s.clock(), renewal)
		return status
	}, func(status runner.Status) {
		if s.state != state {
			return
		}
		done()
		a := runner.Answer{Status: status, ClockMS: rep.ClockMS}
		if status != runner.Done {
			rep = runner.Report{}
		}
		state.HandleReport(s.now, id, renewal, a, rep)
	})
}

// recordDurable records the tasks whose successful end is acknowledged.
func (s *faultSim) recordDurable(w *faultWorker, acknowledged uint64) {
	for _, e := range w.ends {
		if e.Number <= acknowledged && e.Kind == runner.EndDone {
			s.durablyDone[e.Task] = true
		}
	}
}
