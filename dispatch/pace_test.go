package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/workload"
)

const (
	paceSlowdown = 6.0
	// paceSlowWorkers is a quarter of a burst's workers.
	paceSlowWorkers = burstWorkers / 4
	paceSlowTime    = 8 * time.Second
	// paceLastPart is the part of that time in which slow workers are known.
	paceLastPart = 3 * time.Second
	paceBudget   = 1
)

// paceRig returns a rig without a State in which the speed of workers is learned.
func paceRig(t *testing.T, disabled mechanism.Set) *rig {
	return &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}, workerPace: true, disabled: disabled}
}

// paceDay is what a day with slow workers gave.
type paceDay struct {
	*burst
	// overTargetAtLast is the time over target of all serving tasks in the last part of
	// the time in which workers are slow.
	overTargetAtLast time.Duration
	stops            int
	onTime           int
	changes          []dispatch.PaceChange
}

// runSlowWorkers runs serving and best-effort tasks for a while, with a quarter of the
// workers slow for some seconds. It checks each start, and each stop because of a slow
// worker.
func runSlowWorkers(t *testing.T, seed uint64, disabled mechanism.Set) *paceDay {
	d := &paceDay{burst: newBurstOn(paceRig(t, disabled), seed, func(s *workload.Step) { s.DisruptionBudget = paceBudget })}
	d.readyAfter = 600 * time.Millisecond
	lastMove := map[string]time.Time{}
	d.watch = func(p dispatch.Plan) {
		for _, o := range p.Stops {
			if o.Cause == dispatch.SlowWorker {
				d.checkMove(o, lastMove)
			}
		}
		d.checkStarts(p.Starts)
	}
	submit := func(seconds int) {
		for range seconds {
			d.submitBestEffort(fmt.Sprint("batch-at-", d.now.UnixMilli()))
			d.run(time.Second)
			d.changes = append(d.changes, d.state.TakePaceChanges()...)
		}
	}
	submit(10)
	for i := range paceSlowWorkers {
		d.workers[worker(4*i)].slowdown = paceSlowdown
	}
	submit(int((paceSlowTime - paceLastPart) / time.Second))
	before := d.overTarget
	submit(int(paceLastPart / time.Second))
	d.overTargetAtLast = d.overTarget - before
	for _, w := range d.workers {
		w.slowdown = 0
	}
	submit(15)
	for id, due := range d.due {
		if end := d.ended[id]; !end.IsZero() && !end.After(due) {
			d.onTime++
		}
	}
	return d
}

// checkStarts checks that no task is started while a run of it is alive, and that no worker's
// capacity is exceeded.
func (d *paceDay) checkStarts(starts []dispatch.StartOrder) {
	d.t.Helper()
	added := map[string]int64{}
	for _, o := range starts {
		for id, w := range d.workers {
			if w.runs[o.Start.Task] != nil {
				d.t.Errorf("%v is started on %s while it runs on %s", o.Start.Task, o.Worker.ID, id)
			}
		}
		st := d.job(o.Start.Task.Job).Steps[o.Start.Task.Step]
		added[o.Worker.ID] += st.Reserved().MilliCPU
	}
	for id, reserved := range added {
		for _, r := range d.workers[id].runs {
			reserved += r.step.Reserved().MilliCPU
		}
		if capacity := workerInfo(id).Capacity.MilliCPU; reserved > capacity {
			d.t.Errorf("%d thousandths of a core are reserved on %s, which has %d", reserved, id, capacity)
		}
	}
}

// checkMove checks the order to move a run off a slow worker: one per worker and
// cool-down, only from slow workers, and, if it serves, only while fewer others of its
// step are away than its allowance.
func (d *paceDay) checkMove(o dispatch.StopOrder, lastMove map[string]time.Time) {
	d.t.Helper()
	d.stops++
	id := o.Worker.ID
	if last, moved := lastMove[id]; moved && d.now.Sub(last) < 700*time.Millisecond {
		d.t.Errorf("two moves off %s within %v", id, d.now.Sub(last))
	}
	lastMove[id] = d.now
	task := o.Stop.Task
	st := d.job(task.Job).Steps[task.Step]
	if !st.LongRunning {
		if !st.Checkpointing {
			d.t.Errorf("%v is moved though it saves no checkpoints", task)
		}
		return
	}
	away := st.Tasks - 1
	for _, w := range d.workers {
		for other, r := range w.runs {
			if other.Job == task.Job && other != task && !d.now.Before(r.readyAt) {
				away--
			}
		}
	}
	if away >= st.DisruptionBudget {
		d.t.Errorf("%v is stopped while %d others are away, with an allowance of %d", task, away, st.DisruptionBudget)
	}
}

// TestServingLeavesSlowWorkers makes a quarter of the workers six times slower for 8 s.
// With the part serving tasks must spend at least 15% less time over their target, although
// at most a tenth of the tasks on slow workers moves at once, here two or three. About as
// many best-effort jobs must be on time. It fails if tasks stay on slow workers, if a step's
// allowance is exceeded, or if a healthy worker is found slow.
func TestServingLeavesSlowWorkers(t *testing.T) {
	var with, without time.Duration
	onTimeWith, onTimeWithout, stops, slow := 0, 0, 0, 0
	for seed := range uint64(12) {
		d := runSlowWorkers(t, seed, 0)
		with += d.overTargetAtLast
		onTimeWith += d.onTime
		stops += d.stops
		for _, c := range d.changes {
			if c.Found == dispatch.PaceSlow {
				slow++
				if !slowWorker(c.Worker) {
					t.Errorf("seed %d: healthy worker %s was found slow", seed, c.Worker)
				}
			}
		}
		d = runSlowWorkers(t, seed, mechanismPace)
		without += d.overTargetAtLast
		onTimeWithout += d.onTime
		if d.stops > 0 || len(d.changes) > 0 {
			t.Errorf("seed %d: %d moves and %d changes with the part disabled", seed, d.stops, len(d.changes))
		}
	}
	t.Logf("over target: %v with the part, %v without; on time: %d and %d; %d moves, %d times found slow", with, without, onTimeWith, onTimeWithout, stops, slow)
	if with > without*85/100 {
		t.Errorf("serving tasks were over their target for %v with the part and %v without", with, without)
	}
	if onTimeWith < onTimeWithout*98/100 {
		t.Errorf("%d best-effort jobs were on time with the part, %d without", onTimeWith, onTimeWithout)
	}
}

// paceStragglers is the share of runs that take seven times as long by themselves.
const paceStragglers = 1.0 / 33

// interactiveDay is what a day of interactive jobs with slow workers gave.
type interactiveDay struct {
	// jobs counts those submitted in the last part of the time in which workers are slow,
	// onTime those of them that were on time, startsOnSlow the starts on slow workers then.
	jobs, onTime, startsOnSlow int
	changes                    []dispatch.PaceChange
	stats                      dispatch.Stats
}

// runInteractive runs steps of eight tasks that reserve their processors, five a second, half
// of them speculative, with a quarter of the workers slow for some seconds.
func runInteractive(t *testing.T, seed uint64, disabled mechanism.Set) (d interactiveDay) {
	b := newIdleBurst(paceRig(t, disabled), seed)
	b.stragglers = paceStragglers
	n := 0
	submit := func(span time.Duration) {
		for end := b.now.Add(span); b.now.Before(end); {
			n++
			id := fmt.Sprint("interactive", n)
			b.submit(queueShort, id, step(8, 5, func(s *workload.Step) {
				s.Estimate, s.Image, s.Speculative = 900*time.Millisecond, "plan", n%2 == 0
			}))
			b.due[id] = b.now.Add(time.Duration(queueShort.Stretch*float64(900*time.Millisecond)) + queueShort.Target)
			for range 2 {
				b.run(burstTick)
				d.changes = append(d.changes, b.state.TakePaceChanges()...)
			}
		}
	}
	submit(10 * time.Second)
	for i := range paceSlowWorkers {
		b.workers[worker(4*i)].slowdown = paceSlowdown
	}
	submit(paceSlowTime - paceLastPart)
	first := n
	b.watch = func(p dispatch.Plan) {
		for _, o := range p.Starts {
			if slowWorker(o.Worker.ID) {
				d.startsOnSlow++
			}
		}
	}
	submit(paceLastPart)
	b.watch = nil
	last := n
	for _, w := range b.workers {
		w.slowdown = 0
	}
	submit(15 * time.Second)
	for i := first + 1; i <= last; i++ {
		id := fmt.Sprint("interactive", i)
		if end := b.ended[id]; !end.IsZero() && !end.After(b.due[id]) {
			d.onTime++
		}
	}
	d.jobs, d.stats = last-first, b.state.Stats
	return d
}

// TestNewWorkAvoidsSlowWorkers runs interactive jobs on a pool of which a quarter becomes
// six times slower, and one run in 33 takes seven times as long by itself. More jobs must
// be on time with the part than without. It fails if new work goes to slow workers while
// others are free, or if long runs make healthy workers count as slow.
func TestNewWorkAvoidsSlowWorkers(t *testing.T) {
	var with, without interactiveDay
	wrong, slow := 0, 0
	for seed := range uint64(10) {
		d := runInteractive(t, seed, 0)
		with.add(&d)
		for _, c := range d.changes {
			switch {
			case c.Found != dispatch.PaceSlow:
			case slowWorker(c.Worker):
				slow++
			default:
				wrong++
			}
		}
		d = runInteractive(t, seed, mechanismPace)
		without.add(&d)
	}
	t.Logf("of %d jobs %d on time with the part, %d without; starts on slow workers %d and %d; copies because of them %d; %d times found slow, %d of them healthy",
		with.jobs, with.onTime, without.onTime, with.startsOnSlow, without.startsOnSlow, with.stats.SlowCopies, slow, wrong)
	if with.onTime*10 < without.onTime*11 {
		t.Errorf("of %d jobs %d are on time with the part, %d without; want a tenth more", with.jobs, with.onTime, without.onTime)
	}
	if with.startsOnSlow*4 > without.startsOnSlow {
		t.Errorf("%d starts on slow workers with the part, %d without; want at most a quarter", with.startsOnSlow, without.startsOnSlow)
	}
	if with.stats.SlowCopies == 0 {
		t.Error("no speculative task on a slow worker got a copy because of that")
	}
	if wrong > 0 {
		t.Errorf("healthy workers were found slow %d times", wrong)
	}
}

func (d *interactiveDay) add(other *interactiveDay) {
	d.jobs, d.onTime, d.startsOnSlow = d.jobs+other.jobs, d.onTime+other.onTime, d.startsOnSlow+other.startsOnSlow
	d.stats.SlowCopies += other.stats.SlowCopies
}

// slowWorker reports whether a worker is one of those made slow.
func slowWorker(id string) bool {
	for i := range paceSlowWorkers {
		if id == worker(4*i) {
			return true
		}
	}
	return false
}

// mechanismPace is the set that disables the part.
var mechanismPace = mechanism.Of(mechanism.WorkerPace)

// TestBestEffortLeavesSlowWorkers runs long best-effort tasks of which a quarter is on
// workers that become slow. Those that save checkpoints must move and end sooner, those
// that don't must stay.
func TestBestEffortLeavesSlowWorkers(t *testing.T) {
	run := func(checkpointing bool, disabled mechanism.Set) (ended time.Duration, stats dispatch.Stats) {
		b := newIdleBurst(paceRig(t, disabled), 1)
		b.submit(queueLong, "batch", step(2*burstWorkers, 4, func(s *workload.Step) {
			s.BestEffort, s.Checkpointing, s.Estimate, s.Image = true, checkpointing, 8*time.Second, "plan"
		}))
		b.due["batch"] = b.now
		b.run(3 * time.Second)
		slow := 0
		for i := range burstWorkers { // a quarter of those with tasks
			if w := b.workers[worker(i)]; len(w.runs) > 0 && slow < 3 {
				w.slowdown = paceSlowdown
				slow++
			}
		}
		b.run(time.Minute)
		if b.ended["batch"].IsZero() {
			t.Fatal("the job didn't end")
		}
		return b.ended["batch"].Sub(b.startedAt), b.state.Stats
	}
	with, stats := run(true, 0)
	without, _ := run(true, mechanismPace)
	t.Logf("ended after %v with the part, %v without; %d moves", with, without, stats.BestEffortMovedOffSlow)
	if with > without*3/4 || stats.BestEffortMovedOffSlow == 0 {
		t.Errorf("the job ended after %v with %d moves, after %v without the part", with, stats.BestEffortMovedOffSlow, without)
	}
	if _, stats := run(false, 0); stats.BestEffortMovedOffSlow > 0 {
		t.Errorf("%d tasks were moved that save no checkpoints", stats.BestEffortMovedOffSlow)
	}
}
