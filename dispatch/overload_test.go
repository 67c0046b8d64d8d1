package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/flow"
	"github.com/fireflygate/fireflygate/overload"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// Work of a simulated owner, in units of one visit of a worker.
const (
	unitsPerStart = 60 // a start order, its answer and the end of the run
	// unitsPerChecked is how many workers a cycle checks per unit before it places anything.
	unitsPerChecked = 8
	// idleFactor is the least time between the beginnings of two cycles per time of a cycle.
	idleFactor = 4
)

// slowOwner plans with a limited number of units of work a second, in simulated time.
type slowOwner struct {
	*rig
	workers int
	// perSecond is the units that it can do in a second.
	perSecond float64
	limit     overload.Controller
	// unlimited leaves the work of cycles without a limit.
	unlimited bool
	starts    *flow.Limit
	backlog   flow.Backlog
	// ends holds the runs to end, by the time at which they do.
	ends    []pendingEnd
	numbers map[string]uint64
	// arrived holds when the jobs that have yet to start arrived.
	arrived map[string]time.Time
	// worst is the longest wait of an urgent job for its first start; late and started count
	// the other jobs.
	worst               time.Duration
	late, started, jobs int
	refused             map[string]int
	periodAt            time.Time
	startsInPeriod      int
	cutInPeriod         bool
}

// pendingEnd is a run that ends at a time.
type pendingEnd struct {
	at    time.Time
	order dispatch.StartOrder
}

// queueBatch is a queue of whose jobs of one second each is useful if it starts within useful.
var queueBatch = workload.Queue{Name: "batch", Pool: pool, Priority: 2, MaxAttempts: 2, Stretch: 1, Target: 500 * time.Millisecond}

const useful = 3500 * time.Millisecond

// newSlowOwner returns an owner of workers of 64 cores.
func newSlowOwner(t *testing.T, workers int, perSecond float64, unlimited bool) *slowOwner {
	o := &slowOwner{
		rig: &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}, queues: []workload.Queue{queueShort, queueBatch}}, workers: workers, perSecond: perSecond, unlimited: unlimited,
		starts: flow.NewLimit(100*time.Millisecond, 8, 1024), numbers: map[string]uint64{}, arrived: map[string]time.Time{}, refused: map[string]int{},
	}
	o.startedAt, o.periodAt = o.now, o.now
	o.startOwner(1)
	o.largeMembers(workers)
	return o
}

// The load of a slowOwner: jobs per worker and second, and the tasks of a job.
const (
	urgentJobs, batchJobs   = 1.0 / 45, 1.0 / 22
	urgentTasks, batchTasks = 10, 40
)

// startUnits is the work per second of the starts of the load of some workers alone. The
// searches for their workers come on top.
func startUnits(workers int) float64 {
	return float64(workers) * (urgentJobs*urgentTasks + batchJobs*batchTasks) * unitsPerStart
}

// offer lets the jobs arrive that arrive from one time to another.
func (o *slowOwner) offer(from, until time.Time) {
	urgent, batch := float64(o.workers)*urgentJobs, float64(o.workers)*batchJobs
	for at := from; at.Before(until); at = at.Add(time.Millisecond) {
		ms := float64(at.Sub(o.startedAt).Milliseconds())
		if math.Floor(ms*urgent/1000) != math.Floor((ms+1)*urgent/1000) {
			o.submitUnlessRefused(queueShort, "urgent", step(urgentTasks, 2))
		}
		if math.Floor(ms*batch/1000) != math.Floor((ms+1)*batch/1000) {
			o.submitUnlessRefused(queueBatch, "batch", step(batchTasks, 1, func(s *workload.Step) { s.BestEffort, s.Image = true, "batch" }))
		}
	}
}

func (o *slowOwner) submitUnlessRefused(q workload.Queue, kind string, st workload.Step) {
	o.jobs++
	job := &workload.Job{ID: fmt.Sprint(kind, o.jobs), Queue: q.Name, Steps: []workload.Step{st}}
	wait := o.state.OnTimeWait(o.now, o.now.UnixMilli(), job, q)
	if _, refuse := o.backlog.Refuse(o.state.TasksAhead(o.now, job, q), wait); refuse {
		o.refused[kind]++
		return
	}
	o.arrived[job.ID] = o.now
	o.submit(q, job.ID, st)
}

// cycle runs a planning cycle and the work of its orders, which take simulated time.
func (o *slowOwner) cycle() {
	o.endRuns()
	limits := dispatch.PlanLimits{Starts: o.starts.Available(), Visits: o.limit.Limit(), Lease: testLease}
	begun := o.now
	p := o.state.PlanWithin(begun, limits)
	took := o.work(float64(p.Visits + p.UrgentVisits + o.workers/unitsPerChecked))
	o.cutInPeriod = o.cutInPeriod || p.VisitLimitReached || p.StartLimitReached
	if !o.unlimited {
		o.limit.Observe(o.now, overload.Cycle{Took: took, Visits: p.Visits, Cut: p.VisitLimitReached})
	}
	for _, s := range p.Starts {
		o.starts.Acquire()
		o.work(unitsPerStart)
		o.starts.Answered(o.now, o.now.Sub(begun))
		o.state.HandleStartAnswer(o.now, s, runner.Answer{Status: runner.Done, ClockMS: o.clock()})
		o.ends = append(o.ends, pendingEnd{o.now.Add(time.Second), s})
		o.recordStart(s)
	}
	if next := begun.Add(max(4*time.Millisecond, idleFactor*took)); o.now.Before(next) {
		o.now = next
	}
	o.observeBacklog()
}

// work advances the time by that of some units of work.
func (o *slowOwner) work(units float64) time.Duration {
	took := time.Duration(units / o.perSecond * float64(time.Second))
	o.advance(took)
	return took
}

// recordStart records the wait of a job whose first task has started.
func (o *slowOwner) recordStart(s dispatch.StartOrder) {
	o.startsInPeriod++
	id := s.Start.Task.Job
	at, waits := o.arrived[id]
	if !waits {
		return
	}
	delete(o.arrived, id)
	wait := o.now.Sub(at)
	if id[0] == 'u' {
		o.worst = max(o.worst, wait)
		return
	}
	o.started++
	if wait > useful {
		o.late++
	}
}

// endRuns reports the ends that are due.
func (o *slowOwner) endRuns() {
	var left []pendingEnd
	ends := map[string][]runner.RunEnd{}
	for _, r := range o.ends {
		if r.at.After(o.now) {
			left = append(left, r)
			continue
		}
		id := r.order.Worker.ID
		o.numbers[id]++
		ends[id] = append(ends[id], end(o.numbers[id], r.order, runner.EndDone))
	}
	o.ends = left
	for id, list := range ends {
		o.report(id, nil, list)
	}
	o.flush()
}

// observeBacklog passes what a period showed to the estimate of the backlog.
func (o *slowOwner) observeBacklog() {
	period := o.now.Sub(o.periodAt)
	if period < flow.BacklogInterval {
		return
	}
	o.periodAt = o.now
	o.backlog.Observe(o.startsInPeriod, period, o.cutInPeriod)
	o.startsInPeriod, o.cutInPeriod = 0, false
}

// run lets time pass with the load offered, or without.
func (o *slowOwner) run(d time.Duration, offered bool) {
	from, end := o.now, o.now.Add(d)
	for o.now.Before(end) {
		at := o.now
		if offered {
			o.offer(from, at)
		}
		from = at
		o.cycle()
	}
}

// TestUrgentWorkBeforeOtherWork guards against an owner that, asked for more than twice the
// work that its processor can do, is late with all of it: urgent jobs start within their
// objective, other jobs start while they are of use or are refused, and the owner returns to
// normal within two seconds of the load's end.
func TestUrgentWorkBeforeOtherWork(t *testing.T) {
	const objective = 250 * time.Millisecond
	for _, workers := range []int{100, 1000, 4300} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			o := newSlowOwner(t, workers, startUnits(workers)/2, false)
			o.run(5*time.Second, true)
			t.Logf("urgent %v, %d batch jobs started, %v refused", o.worst, o.started, o.refused)
			if o.worst > objective {
				t.Errorf("an urgent job waited %v for its first start, want %v at most", o.worst, objective)
			}
			if o.refused["urgent"] > 0 || o.refused["batch"] == 0 {
				t.Errorf("refused %v, want batch jobs and no urgent ones", o.refused)
			}
			if missed := o.late + o.waitingTooLong(); 10*missed > o.started {
				t.Errorf("%d batch jobs weren't started while they were of use, %d were", missed, o.started)
			}
			o.run(2*time.Second, false)
			if o.limit.Short() {
				t.Error("two seconds after the load's end the work of cycles is still limited")
			}
		})
	}
}

// TestUrgentWorkIsLateWithoutLimit checks that the load of TestUrgentWorkBeforeOtherWork is
// too much for an owner whose cycles have no limit.
func TestUrgentWorkIsLateWithoutLimit(t *testing.T) {
	const workers = 1000
	o := newSlowOwner(t, workers, startUnits(workers)/2, true)
	o.run(5*time.Second, true)
	if o.worst <= 250*time.Millisecond {
		t.Errorf("urgent jobs wait %v at most", o.worst)
	}
}

// TestLimitedCyclesTryAllPools guards against steps that fit nowhere and use up each cycle of
// an owner that is short of processor, so that steps which would fit are never tried.
func TestLimitedCyclesTryAllPools(t *testing.T) {
	other := queueLong
	other.Name, other.Pool, other.Priority = "other", "elsewhere", queueLong.Priority+1
	r := &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}, queues: []workload.Queue{queueLong, other}}
	r.startedAt = r.now
	r.startOwner(1)
	elsewhere := workerInfo("elsewhere")
	elsewhere.Pool = other.Pool
	r.state.SetMembers(r.now, []runner.Worker{workerInfo(worker(0)), elsewhere})
	r.flush()
	r.report(worker(0), nil, nil)
	r.report(elsewhere.ID, nil, nil)
	for i := range 20 {
		r.submit(queueLong, fmt.Sprint("full", i), step(30, 1, func(s *workload.Step) {
			s.BestEffort, s.Image, s.Needs.MemoryMB = true, fmt.Sprint("batch", i), 60_000
		}))
	}
	r.submit(other, "fits", step(1, 1, func(s *workload.Step) { s.BestEffort, s.Image = true, "batch" }))
	var running []runner.ActiveRun
	for range 100 {
		r.advance(time.Millisecond)
		r.report(worker(0), running, nil) // a change, after which each step is tried again
		for _, o := range r.state.PlanWithin(r.now, dispatch.PlanLimits{Starts: 8, Visits: 2, Lease: testLease}).Starts {
			r.state.HandleStartAnswer(r.now, o, runner.Answer{Status: runner.Done, ClockMS: r.clock()})
			if o.Start.Task.Job == "fits" {
				return
			}
			running = append(running, active(o))
		}
	}
	t.Error("a step that fits wasn't tried in 100 cycles")
}

// waitingTooLong counts the batch jobs that wait although they are of no use any more.
func (o *slowOwner) waitingTooLong() int {
	n := 0
	for id, at := range o.arrived {
		if id[0] == 'b' && o.now.Sub(at) > useful {
			n++
		}
	}
	return n
}
