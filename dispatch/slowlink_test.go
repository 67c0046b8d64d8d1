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

// The load of an owner with a small link: its workers have room for twice the
// tasks whose orders and reports the link carries.
const (
	linkWorkers = 48
	linkRate    = 40_000 // bytes a second, each way
	linkTick    = 5 * time.Millisecond
	linkFor     = 30 * time.Second
	// The bytes of an order, an answer, and of each run that a report lists.
	startBytes, lookBytes, answerBytes, runBytes = 800, 250, 150, 60
	// maxQueued is how many bytes wait before packets are dropped.
	maxQueued = 400_000
)

// link carries messages one after another.
type link struct {
	queue  []message
	queued int
	// sent is the bytes of the first message that are on their way.
	sent int
}

// message is some bytes and what they bring about.
type message struct {
	bytes   int
	arrived func()
}

// carry queues a message; a full link loses it.
func (l *link) carry(bytes int, arrived func()) {
	if l.queued+bytes > maxQueued {
		return
	}
	l.queue = append(l.queue, message{bytes, arrived})
	l.queued += bytes
}

// pass carries what fits into a tick.
func (l *link) pass() {
	l.sent += int(linkRate * linkTick / time.Second)
	for len(l.queue) > 0 && l.sent >= l.queue[0].bytes {
		m := l.queue[0]
		l.queue = l.queue[1:]
		l.queued -= m.bytes
		l.sent -= m.bytes
		m.arrived()
	}
	if len(l.queue) == 0 {
		l.sent = 0
	}
}

// restraint is how an owner holds back.
type restraint interface {
	Timeout() time.Duration
	AvailableStarts() int
	StartIssued()
	StartFinished(now time.Time, w flow.RoundTrip)
	Observe(now time.Time, w flow.RoundTrip)
	PollInterval(now time.Time) time.Duration
}

// fixedLimits holds back by a time limit only.
type fixedLimits struct{}

// Wait and the others implement restraint.
func (fixedLimits) Timeout() time.Duration                  { return 300 * time.Millisecond }
func (fixedLimits) AvailableStarts() int                    { return math.MaxInt }
func (fixedLimits) StartIssued()                            {}
func (fixedLimits) StartFinished(time.Time, flow.RoundTrip) {}
func (fixedLimits) Observe(time.Time, flow.RoundTrip)       {}
func (fixedLimits) PollInterval(time.Time) time.Duration    { return 0 }

// linkSite is a domain whose owner reaches its workers over one link.
type linkSite struct {
	*faultSite
	out, in  link
	traffic  restraint
	nextLook map[string]time.Time
	// begun counts the starts that workers carried out by task, ended holds the
	// tasks that a worker has ended as done.
	begun map[workload.TaskID]int
	ended map[workload.TaskID]bool
	// again counts starts of tasks that had ended or were at work, refused the
	// starts that a worker refused, unanswered the orders without an answer.
	again, refused, unanswered int
	// delay, if set, is what each message takes in place of the links.
	delay func() time.Duration
}

// carry has a message arrive.
func (s *linkSite) carry(l *link, bytes int, arrived func()) {
	if s.delay == nil {
		l.carry(bytes, arrived)
		return
	}
	s.after(s.delay(), arrived)
}

// newLinkSite returns a site of idle workers.
func newLinkSite(t *testing.T, traffic restraint) *linkSite {
	s := &linkSite{
		faultSite: &faultSite{
			rig:    &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}},
			random: rand.New(rand.NewPCG(1, 7)), looking: map[string]bool{}, done: map[workload.TaskID]bool{}, calm: true,
		},
		traffic: traffic, nextLook: map[string]time.Time{}, begun: map[workload.TaskID]int{}, ended: map[workload.TaskID]bool{},
	}
	s.began = s.now
	s.own(1)
	for range linkWorkers {
		s.join()
	}
	s.list()
	return s
}

// run lets time pass, with a job handed in every so often.
func (s *linkSite) run(d, every time.Duration) {
	for i := range d / linkTick {
		if linkTick*i%every == 0 {
			s.accept(queueShort, fmt.Sprint("job", len(s.jobs)), step(8, 3), step(8, 3, func(st *workload.Step) { st.After = []int{0} }))
		}
		s.pass(linkTick)
		s.happen()
		s.out.pass()
		s.in.pass()
		s.workAll()
		s.noteEnds()
		s.flush()
		for _, o := range s.state.PlanAtMost(s.now, s.traffic.AvailableStarts()).Starts {
			s.give(o)
		}
		for _, w := range s.lives {
			id := w.info.ID
			if !s.looking[id] && s.state.RenewalReady(s.now, id) && !s.now.Before(s.nextLook[id]) {
				s.lookAt(w, true)
			}
		}
	}
}

// noteEnds keeps which tasks a worker has ended as done.
func (s *linkSite) noteEnds() {
	for _, w := range s.lives {
		for _, e := range w.ends {
			s.ended[e.Task] = s.ended[e.Task] || e.Kind == runner.EndDone
		}
	}
}

// exchange sends an order and has its answer taken in, or that there was none
// within the wait. The worker carries it out whenever it comes.
func (s *linkSite) exchange(bytes int, held time.Duration, do func(answer func(bytes int)), over func(way flow.RoundTrip)) {
	given, open := s.now, true
	s.carry(&s.out, bytes, func() {
		do(func(bytes int) {
			s.carry(&s.in, bytes, func() {
				if open {
					open = false
					over(flow.RoundTrip{Duration: max(s.now.Sub(given), 1)})
				}
			})
		})
	})
	s.after(s.traffic.Timeout()+held, func() {
		if open {
			open = false
			s.unanswered++
			over(flow.RoundTrip{Duration: s.now.Sub(given), TimedOut: true})
		}
	})
}

// give sends a start.
func (s *linkSite) give(o dispatch.StartOrder) {
	w, status := s.life(o.Worker.ID), runner.Unknown
	s.traffic.StartIssued()
	s.exchange(startBytes, 0, func(answer func(int)) {
		status = w.start(s.clock(), o.Start, &faultRun{number: o.Start.Run, step: &s.jobOf(o).Steps[o.Start.Task.Step], began: s.now, need: time.Second})
		switch {
		case status != runner.Done:
			s.refused++
		case s.ended[o.Start.Task] || s.atWork(o.Start.Task) > 1:
			s.again++
		}
		answer(answerBytes)
	}, func(way flow.RoundTrip) {
		a := runner.Answer{Status: status, ClockMS: s.clock()}
		if way.TimedOut {
			a = runner.Answer{Status: runner.Unknown}
		}
		s.traffic.Observe(s.now, way)
		s.traffic.StartFinished(s.now, way)
		if s.state.HandleStartAnswer(s.now, o, a) {
			s.lookAt(w, false)
		}
	})
}

// atWork counts the workers where a task runs.
func (s *linkSite) atWork(id workload.TaskID) int {
	n := 0
	for _, w := range s.lives {
		if w.runs[id] != nil {
			n++
		}
	}
	return n
}

// jobOf returns the job of a start.
func (s *linkSite) jobOf(o dispatch.StartOrder) *workload.Job {
	i := slices.IndexFunc(s.jobs, func(j *workload.Job) bool { return j.ID == o.Start.Task.Job })
	return s.jobs[i]
}

// lookAt looks at a worker. Waits tells whether it may hold its answer.
func (s *linkSite) lookAt(w *faultWorker, waits bool) {
	id := w.info.ID
	_, renewal, ok := s.state.Renewal(s.now, id, true)
	if !ok {
		return
	}
	if !waits {
		renewal.WaitMS = 0
	}
	s.looking[id] = s.looking[id] || waits
	held := time.Duration(renewal.WaitMS) * time.Millisecond
	var rep runner.Report
	var status runner.Status
	answer := func(reply func(int)) {
		status, rep = w.hold(s.clock(), renewal)
		rep.ClockMS = s.clock()
		reply(answerBytes + runBytes*(len(rep.Active)+len(rep.Ends)))
	}
	s.exchange(lookBytes, held, func(reply func(int)) {
		s.holdUntilEnd(w, renewal.Acknowledged, s.now.Add(held), func() { answer(reply) })
	},
		func(way flow.RoundTrip) {
			if waits {
				s.looking[id] = false
			}
			if (way.TimedOut && s.state.Responsive(id)) || (!way.TimedOut && held == 0) {
				s.traffic.Observe(s.now, way)
			}
			a := runner.Answer{Status: status, ClockMS: rep.ClockMS}
			s.nextLook[id] = s.now.Add(s.traffic.PollInterval(s.now))
			if way.TimedOut {
				a, rep = runner.Answer{Status: runner.Unknown}, runner.Report{}
				s.nextLook[id] = s.now.Add(s.traffic.Timeout())
			}
			s.state.HandleReport(s.now, id, renewal, a, rep)
		})
}

// holdUntilEnd has a worker answer once it lists an end, or at the latest then.
func (s *linkSite) holdUntilEnd(w *faultWorker, acknowledged uint64, latest time.Time, answer func()) {
	listed := len(w.ends) > 0 && w.ends[len(w.ends)-1].Number > acknowledged
	if listed || !s.now.Before(latest) {
		answer()
		return
	}
	s.after(linkTick, func() { s.holdUntilEnd(w, acknowledged, latest, answer) })
}

// TestSlowLink offers an owner's link twice what it carries. Every run ends
// where it was started, so whatever starts again does so because the owner wasn't
// listening. With fixed time limits each queue grew until nothing was answered in
// time: orders were carried out that the owner had given up, and it gave up
// workers that were well. Held back by the measured delay, nothing starts twice
// and the link carries useful work.
func TestSlowLink(t *testing.T) {
	const every = 250 * time.Millisecond // 64 starts a second
	play := func(traffic restraint) *linkSite {
		s := newLinkSite(t, traffic)
		s.run(linkFor, every)
		t.Logf("%T: %d tasks done, %d starts again, %d refused, %d orders without an answer",
			traffic, len(s.ended), s.again, s.refused, s.unanswered)
		return s
	}
	fixed, held := play(fixedLimits{}), play(flow.NewTraffic())
	if held.again > 0 {
		t.Errorf("%d starts of tasks that were at work or had ended", held.again)
	}
	if fixed.unanswered < 10*held.unanswered {
		t.Errorf("%d orders without an answer, %d with fixed limits: the load is no load", held.unanswered, fixed.unanswered)
	}
	if len(held.ended) < 2*len(fixed.ended) {
		t.Errorf("%d tasks done, %d with fixed limits", len(held.ended), len(fixed.ended))
	}
}

// delaySeeds is how many schedules of delays are played.
const delaySeeds = 12

// TestDelaysStartNothingAgain delays each message by a time of its own, up to two
// seconds, and loses none. However they are drawn, no task starts that is at work
// elsewhere, or whose end its worker has told of before. An answer that comes after
// the wait for it is dropped today, so that a worker may go unheard for longer than a
// lease although each message arrives: seed 9 starts two tasks again that had ended.
func TestDelaysStartNothingAgain(t *testing.T) {
	const longest = 2 * time.Second
	for seed := range uint64(delaySeeds) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := newLinkSite(t, flow.NewTraffic())
		// Most messages are quick; a share of them, which differs from seed to
		// seed and changes every few seconds, is not.
		s.delay = func() time.Duration {
			slow := 0.1 * float64((int(s.now.Sub(s.began)/(3*time.Second))+int(seed))%8) //nolint:gosec // a few
			if random.Float64() < slow {
				return time.Duration(random.Int64N(int64(longest)))
			}
			return time.Duration(random.Int64N(int64(10 * time.Millisecond)))
		}
		s.run(12*time.Second, 500*time.Millisecond)
		if s.again > 0 {
			t.Errorf("seed %d: %d starts of tasks that were at work or had ended", seed, s.again)
		}
		if len(s.ended) == 0 {
			t.Errorf("seed %d: nothing was done", seed)
		}
	}
}
