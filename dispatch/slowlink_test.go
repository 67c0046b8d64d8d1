package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/flow"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// The load of an owner with a slow link: its workers have capacity for twice
// the tasks that the link can carry orders and reports for.
const (
	linkWorkers  = 48
	linkRate     = 40_000 // bytes a second in each direction
	linkTick     = 5 * time.Millisecond
	linkDuration = 30 * time.Second
	// Sizes of messages in bytes, and of each run listed in a report.
	startBytes, pollBytes, answerBytes, runBytes = 800, 250, 150, 60
	// maxQueuedBytes is the queue length at which messages are dropped.
	maxQueuedBytes = 400_000
)

// link transmits messages one after another.
type link struct {
	queue  []message
	queued int
	// sent is the number of bytes of the first message already transmitted.
	sent int
}

// message is a number of bytes and what its arrival causes.
type message struct {
	bytes   int
	deliver func()
}

// send queues a message, or drops it if the queue is full.
func (l *link) send(bytes int, deliver func()) {
	if l.queued+bytes > maxQueuedBytes {
		return
	}
	l.queue = append(l.queue, message{bytes, deliver})
	l.queued += bytes
}

// advance transmits what fits into one tick.
func (l *link) advance() {
	l.sent += int(linkRate * linkTick / time.Second)
	for len(l.queue) > 0 && l.sent >= l.queue[0].bytes {
		m := l.queue[0]
		l.queue = l.queue[1:]
		l.queued -= m.bytes
		l.sent -= m.bytes
		m.deliver()
	}
	if len(l.queue) == 0 {
		l.sent = 0
	}
}

// trafficControl limits an owner's traffic; flow.Traffic implements it.
type trafficControl interface {
	Timeout() time.Duration
	AvailableStarts() int
	StartIssued()
	StartFinished(now time.Time, rt flow.RoundTrip)
	Observe(now time.Time, rt flow.RoundTrip)
	PollInterval(now time.Time) time.Duration
}

// fixedTimeout is a trafficControl with a fixed timeout and no other limits.
type fixedTimeout struct{}

// Timeout and the other methods implement trafficControl.
func (fixedTimeout) Timeout() time.Duration                  { return 300 * time.Millisecond }
func (fixedTimeout) AvailableStarts() int                    { return math.MaxInt }
func (fixedTimeout) StartIssued()                            {}
func (fixedTimeout) StartFinished(time.Time, flow.RoundTrip) {}
func (fixedTimeout) Observe(time.Time, flow.RoundTrip)       {}
func (fixedTimeout) PollInterval(time.Time) time.Duration    { return 0 }

// linkSim simulates a domain whose owner reaches its workers over one link.
type linkSim struct {
	*faultSim
	out, in  link
	traffic  trafficControl
	nextPoll map[string]time.Time
	// started counts the starts carried out by task, ended holds the tasks with
	// a successful end.
	started map[workload.TaskID]int
	ended   map[workload.TaskID]bool
	// duplicateStarts counts starts of tasks that had ended or were running,
	// refused the starts refused by workers, unanswered the orders that timed
	// out.
	duplicateStarts, refused, unanswered int
	// dropLate drops answers that come after the timeout.
	dropLate bool
	// delay, if set, returns the delay of each message and replaces the links.
	delay func() time.Duration
}

// send delivers a message over a link, or after the delay.
func (s *linkSim) send(l *link, bytes int, deliver func()) {
	if s.delay == nil {
		l.send(bytes, deliver)
		return
	}
	s.after(s.delay(), deliver)
}

// newLinkSim returns a simulation of idle workers.
func newLinkSim(t *testing.T, traffic trafficControl) *linkSim {
	s := &linkSim{
		faultSim: &faultSim{
			rig:    &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}},
			random: rand.New(rand.NewPCG(1, 7)), polling: map[string]bool{}, durablyDone: map[workload.TaskID]bool{}, noFaults: true,
		},
		traffic: traffic, nextPoll: map[string]time.Time{}, started: map[workload.TaskID]int{}, ended: map[workload.TaskID]bool{},
	}
	s.startedAt = s.now
	s.startOwner(1)
	for range linkWorkers {
		s.addWorker()
	}
	s.updateMembers()
	return s
}

// run advances the simulation by d and submits a job at each interval.
func (s *linkSim) run(d, every time.Duration) {
	for i := range d / linkTick {
		if linkTick*i%every == 0 {
			s.accept(queueShort, fmt.Sprint("job", len(s.jobs)), step(8, 3), step(8, 3, func(st *workload.Step) { st.After = []int{0} }))
		}
		s.advance(linkTick)
		s.runScheduled()
		s.out.advance()
		s.in.advance()
		s.advanceWorkers()
		s.recordEnds()
		s.flush()
		for _, o := range s.state.PlanAtMost(s.now, s.traffic.AvailableStarts()).Starts {
			s.sendStart(o)
		}
		for _, w := range s.workers {
			id := w.info.ID
			if !s.polling[id] && s.state.RenewalReady(s.now, id) && !s.now.Before(s.nextPoll[id]) {
				s.pollWorker(w, true)
			}
		}
	}
}

// recordEnds records the tasks that ended successfully.
func (s *linkSim) recordEnds() {
	for _, w := range s.workers {
		for _, e := range w.ends {
			s.ended[e.Task] = s.ended[e.Task] || e.Kind == runner.EndDone
		}
	}
}

// lateAnswerWait is how long after its timeout the answer to a poll is still used.
const lateAnswerWait = 2500 * time.Millisecond

// call sends an order and calls done with the round trip once the answer arrives
// or times out. The worker may hold its answer for the time held, which extends
// the timeout. Whenever the order arrives, the worker carries it out by do, which
// calls answer with the size of its answer. An answer that comes up to
// lateAnswerWait after the timeout is passed to late, which may be nil.
func (s *linkSim) call(bytes int, held time.Duration, do func(answer func(bytes int)), done func(rt flow.RoundTrip), late func()) {
	sent, open := s.now, true
	timeout := s.traffic.Timeout() + held
	s.send(&s.out, bytes, func() {
		do(func(bytes int) {
			s.send(&s.in, bytes, func() {
				switch {
				case open:
					open = false
					done(flow.RoundTrip{Duration: max(s.now.Sub(sent), 1)})
				case late != nil && !s.dropLate && s.now.Sub(sent) <= timeout+lateAnswerWait:
					late()
				}
			})
		})
	})
	s.after(timeout, func() {
		if open {
			open = false
			s.unanswered++
			done(flow.RoundTrip{Duration: s.now.Sub(sent), TimedOut: true})
		}
	})
}

// sendStart sends a start order.
func (s *linkSim) sendStart(o dispatch.StartOrder) {
	w, status := s.worker(o.Worker.ID), runner.Unknown
	s.traffic.StartIssued()
	s.call(startBytes, 0, func(answer func(int)) {
		status = w.start(s.clock(), o.Start, &faultRun{number: o.Start.Run, step: &s.jobOf(o).Steps[o.Start.Task.Step], startedAt: s.now, duration: time.Second})
		switch {
		case status != runner.Done:
			s.refused++
		case s.ended[o.Start.Task] || s.runningOn(o.Start.Task) > 1:
			s.duplicateStarts++
		}
		answer(answerBytes)
	}, func(rt flow.RoundTrip) {
		a := runner.Answer{Status: status, ClockMS: s.clock()}
		if rt.TimedOut {
			a = runner.Answer{Status: runner.Unknown}
		}
		s.traffic.Observe(s.now, rt)
		s.traffic.StartFinished(s.now, rt)
		if s.state.HandleStartAnswer(s.now, o, a) {
			s.pollWorker(w, false)
		}
	}, nil)
}

// runningOn counts the workers that run a task.
func (s *linkSim) runningOn(id workload.TaskID) int {
	n := 0
	for _, w := range s.workers {
		if w.runs[id] != nil {
			n++
		}
	}
	return n
}

func (s *linkSim) jobOf(o dispatch.StartOrder) *workload.Job {
	i := slices.IndexFunc(s.jobs, func(j *workload.Job) bool { return j.ID == o.Start.Task.Job })
	return s.jobs[i]
}

// pollWorker polls a worker. mayHold says whether this is a long poll.
func (s *linkSim) pollWorker(w *faultWorker, mayHold bool) {
	id := w.info.ID
	_, renewal, ok := s.state.Renewal(s.now, id, testLease)
	if !ok {
		return
	}
	if !mayHold {
		renewal.WaitMS = 0
	}
	s.polling[id] = s.polling[id] || mayHold
	held := time.Duration(renewal.WaitMS) * time.Millisecond
	var rep runner.Report
	var status runner.Status
	answer := func(reply func(int)) {
		status, rep = w.renew(s.clock(), renewal)
		rep.ClockMS = s.clock()
		reply(answerBytes + runBytes*(len(rep.Active)+len(rep.Ends)))
	}
	s.call(pollBytes, held, func(reply func(int)) {
		s.holdUntilEnd(w, renewal.Acknowledged, s.now.Add(held), func() { answer(reply) })
	},
		func(rt flow.RoundTrip) {
			if mayHold {
				s.polling[id] = false
			}
			if (rt.TimedOut && s.state.Responsive(id)) || (!rt.TimedOut && held == 0) {
				s.traffic.Observe(s.now, rt)
			}
			if rt.TimedOut {
				s.nextPoll[id] = s.now.Add(s.traffic.Timeout())
				s.state.HandleReport(s.now, id, renewal, runner.Answer{Status: runner.Unknown}, runner.Report{})
				return
			}
			s.nextPoll[id] = s.now.Add(s.traffic.PollInterval(s.now))
			s.state.HandleReport(s.now, id, renewal, runner.Answer{Status: status, ClockMS: rep.ClockMS}, rep)
		},
		func() {
			s.nextPoll[id] = s.now
			s.state.HandleReport(s.now, id, renewal, runner.Answer{Status: status, ClockMS: rep.ClockMS}, rep)
		})
}

// holdUntilEnd calls answer once a worker lists a new end, or at the latest
// time.
func (s *linkSim) holdUntilEnd(w *faultWorker, acknowledged uint64, latest time.Time, answer func()) {
	listed := len(w.ends) > 0 && w.ends[len(w.ends)-1].Number > acknowledged
	if listed || !s.now.Before(latest) {
		answer()
		return
	}
	s.after(linkTick, func() { s.holdUntilEnd(w, acknowledged, latest, answer) })
}

// TestSlowLink offers an owner's link twice the load that it can carry. With a
// fixed timeout, after which answers are dropped, the queues grow until orders time
// out and responsive workers are suspected. The adaptive limits must start no task twice and complete more
// tasks.
func TestSlowLink(t *testing.T) {
	const every = 250 * time.Millisecond // 64 starts a second
	simulate := func(traffic trafficControl) *linkSim {
		s := newLinkSim(t, traffic)
		_, s.dropLate = traffic.(fixedTimeout)
		s.run(linkDuration, every)
		t.Logf("%T: %d tasks done, %d duplicate starts, %d refused, %d orders timed out",
			traffic, len(s.ended), s.duplicateStarts, s.refused, s.unanswered)
		return s
	}
	fixed, adaptive := simulate(fixedTimeout{}), simulate(flow.NewTraffic())
	if adaptive.duplicateStarts > 0 {
		t.Errorf("%d starts of tasks that were running or had ended", adaptive.duplicateStarts)
	}
	if fixed.unanswered < 10*adaptive.unanswered {
		t.Errorf("%d orders timed out, %d with a fixed timeout: the load doesn't saturate the link", adaptive.unanswered, fixed.unanswered)
	}
	if len(adaptive.ended) < 2*len(fixed.ended) {
		t.Errorf("%d tasks done, want at least twice the %d with a fixed timeout", len(adaptive.ended), len(fixed.ended))
	}
}

// delaySeeds is the number of simulated delay schedules.
const delaySeeds = 12

// TestDelaysStartNothingAgain delays each message by up to two seconds, loses
// none, and checks that no task starts that is running or has ended. If answers
// after the timeout were dropped, a worker could count as unresponsive for longer
// than a lease although each message arrives.
func TestDelaysStartNothingAgain(t *testing.T) {
	const longest = 2 * time.Second
	for seed := range uint64(delaySeeds) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := newLinkSim(t, flow.NewTraffic())
		// Most messages are fast. The share of slow ones depends on the seed
		// and changes every few seconds.
		s.delay = func() time.Duration {
			slow := 0.1 * float64((int(s.now.Sub(s.startedAt)/(3*time.Second))+int(seed))%8) //nolint:gosec // a few
			if random.Float64() < slow {
				return time.Duration(random.Int64N(int64(longest)))
			}
			return time.Duration(random.Int64N(int64(10 * time.Millisecond)))
		}
		s.run(12*time.Second, 500*time.Millisecond)
		if s.duplicateStarts > 0 {
			t.Errorf("seed %d: %d starts of tasks that were running or had ended", seed, s.duplicateStarts)
		}
		if len(s.ended) == 0 {
			t.Errorf("seed %d: no task was done", seed)
		}
	}
}
