package dispatch_test

import (
	"fmt"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// act lets an owner commit, submit, plan and poll.
func (s *ackSim) act(o *ackOwner) {
	o.state.SetMembers(o.now, []runner.Worker{workerInfo(worker(0))})
	s.commit(o)
	if o == s.owner() && s.fault(0.2) {
		s.jobs++
		job := &workload.Job{
			ID: fmt.Sprint("job", s.jobs), Queue: queueShort.Name, Steps: []workload.Step{step(1+s.random.IntN(3), 2)}, Submitted: o.now.UnixMilli(),
		}
		o.state.Accept(o.now, o.now.UnixMilli(), job, queueShort)
	}
	if o == s.owner() && s.jobs > 0 && s.fault(0.02) {
		o.state.Cancel(o.now, fmt.Sprint("job", 1+s.random.IntN(s.jobs)))
	}
	for _, start := range o.state.Plan(o.now).Starts {
		start.Sending.Queue()
		if !start.Sending.Begin() {
			s.t.Fatal("a planned start was withdrawn before it was sent")
		}
		s.start(o, start)
	}
	if s.chance(0.5) && o.state.RenewalReady(o.now, worker(0)) {
		s.poll(o)
	}
}

// start sends a start, which may be carried out or answered late, or lost. It isn't carried
// out by a life that follows one which has seen a higher token: the owner then takes it for
// refused, and has no means to make the next life refuse it.
func (s *ackSim) start(o *ackOwner, start dispatch.StartOrder) {
	answer := runner.Answer{Status: runner.Unknown}
	carryOut := func() {
		if start.Start.Token < s.highest && start.Start.Token >= s.token {
			return
		}
		answer = runner.Answer{Status: runner.Fenced, ClockMS: s.life.clock()}
		if s.accepts(start.Start.Token) {
			s.life.active = append(s.life.active, active(start))
			answer.Status = runner.Done
		}
	}
	switch x := s.random.Float64(); {
	case s.calm:
		carryOut()
	case x < 0.05:
	case x < 0.15:
		s.after(4*time.Second, carryOut)
	default:
		carryOut()
	}
	late, lost := s.random.Int64N(int64(time.Second)), s.fault(0.1)
	s.after(time.Duration(1+late), func() {
		if lost {
			answer = runner.Answer{Status: runner.Unknown}
		}
		o.state.HandleStartAnswer(o.now, start, answer)
	})
}

// poll sends a renewal, which may be carried out and answered late, or lost.
func (s *ackSim) poll(o *ackOwner) {
	_, renewal, ok := o.state.Renewal(o.now, worker(0), testLease)
	if !ok || s.fault(0.05) {
		return
	}
	late := 50 * time.Millisecond
	if s.fault(0.1) {
		late = 4 * time.Second
	}
	s.after(late, func() {
		answer, report := s.life.answer(runner.Fenced), runner.Report{}
		if s.accepts(renewal.Token) {
			s.check(renewal.Acknowledged)
			answer, report = s.life.answer(runner.Done), s.life.renew(renewal)
			s.random.Shuffle(len(report.Ends), func(i, j int) { report.Ends[i], report.Ends[j] = report.Ends[j], report.Ends[i] })
		}
		switch {
		case s.fault(0.05): // the answer is lost
			o.state.HandleReport(o.now, worker(0), renewal, runner.Answer{Status: runner.Unknown}, runner.Report{})
		default:
			s.after(late, func() { o.state.HandleReport(o.now, worker(0), renewal, answer, report) })
		}
	})
}

// commit begins a commit unless one is in flight, and handles its answer.
func (s *ackSim) commit(o *ackOwner) {
	if b := o.batch; b != nil {
		if o.applied && !o.now.Before(o.answeredAt) {
			o.batch = nil
			o.state.ConfirmOwnership(o.began)
			o.state.MarkFlushed(b)
		}
		return
	}
	collect, limit := o.state.Flush, 4+s.random.IntN(40)
	if s.chance(0.5) {
		collect = o.state.FlushUrgent
	}
	b, err := collect(o.now, limit)
	if err != nil {
		s.t.Fatal(err)
	}
	o.batch, o.applied, o.began = b, false, o.now
	late := 50 * time.Millisecond
	if s.fault(0.1) {
		late = 3 * time.Second
	}
	s.after(late, func() {
		if o != s.owner() {
			return // it has been replaced: the commit is refused
		}
		o.write(b)
		o.epochsKnown = o.epochsKnown || b.RosterEpochs
		o.applied, o.answeredAt = true, o.now.Add(time.Duration(s.random.Int64N(int64(late))))
	})
}
