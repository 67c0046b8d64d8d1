package dispatch_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// The load of a burst: serving tasks reserve about four fifths of the workers.
const (
	burstWorkers          = 24
	burstServingImages    = 4 // images of serving tasks
	burstBestEffortImages = 6 // images of best-effort tasks
	burstTarget           = 60 * time.Millisecond
	burstLoadPeriod       = 20 * time.Second
	lowImpactEffect       = 1.5  // slack lost to a best-effort task with a whole worker
	highImpactEffect      = 13.0 // the same for a high-impact pair of images
	highImpactShare       = 0.55
	burstTick             = 100 * time.Millisecond
	ticksPerReport        = 5
	stragglerFactor       = 7
)

// burst simulates a burst of best-effort jobs on workers whose tails depend on
// what they run.
type burst struct {
	*rig
	random *rand.Rand
	// effects holds the slack lost by pair of best-effort and serving image.
	effects map[[2]string]float64
	// phase holds, by serving job, the phase of its load as a share of the period.
	phase   map[string]float64
	workers map[string]*simWorker
	// ended and due hold when each job was complete and when it should be.
	ended, due map[string]time.Time
	// noise is the spread of the logarithm of declared run times around the true ones,
	// which durations holds by job and step; without noise they are the declared ones.
	noise     float64
	durations map[workload.StepID]time.Duration
	// overTarget is the total time that serving tasks spent over their target.
	overTarget time.Duration
	tick       int
	// readyAfter is how long a serving run takes until it serves.
	readyAfter time.Duration
	// stragglers is the share of finite runs that take stragglerFactor times as long.
	stragglers float64
	// watch, if set, is called with each plan before it is carried out.
	watch func(dispatch.Plan)
}

// simWorker is a simulated worker.
type simWorker struct {
	runs    map[workload.TaskID]*simRun
	ends    []runner.RunEnd
	lastEnd uint64
	// slowdown is how many times as long everything takes there, 0 for once.
	slowdown float64
}

// simRun is a run on a simulated worker.
type simRun struct {
	number uint64
	step   workload.Step
	job    string
	// progress and total are the work done and all work, as time at the full
	// CPU limit.
	progress, total time.Duration
	cpuLimit        int
	// readyAt is when a serving run begins to serve.
	readyAt time.Time
}

// newBurst returns workers with serving tasks and no best-effort jobs.
func newBurst(t *testing.T, seed uint64, disabled mechanism.Set) *burst {
	return newBurstOn(newBurstRig(t, disabled), seed)
}

// newBurstRig returns a rig without a State whose owners have the given queues, the usual
// ones if there are none.
func newBurstRig(t *testing.T, disabled mechanism.Set, queues ...workload.Queue) *rig {
	return &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}, disabled: disabled, queues: queues}
}

// newIdleBurst returns workers without tasks, on a rig without a State.
func newIdleBurst(r *rig, seed uint64) *burst {
	b := &burst{
		rig:    r,
		random: rand.New(rand.NewPCG(seed, 1)), effects: map[[2]string]float64{}, phase: map[string]float64{},
		workers: map[string]*simWorker{}, ended: map[string]time.Time{}, due: map[string]time.Time{},
		durations: map[workload.StepID]time.Duration{},
	}
	b.startedAt = b.now
	b.startOwner(1)
	b.members(burstWorkers)
	for i := range burstWorkers {
		b.workers[worker(i)] = &simWorker{runs: map[workload.TaskID]*simRun{}}
	}
	return b
}

// newBurstOn is newBurst on a rig without a State, with changes of the serving steps.
func newBurstOn(r *rig, seed uint64, change ...func(*workload.Step)) *burst {
	b := newIdleBurst(r, seed)
	b.startServing(change...)
	return b
}

// startServing draws the effects of best-effort images on serving ones, and starts the
// serving tasks.
func (b *burst) startServing(change ...func(*workload.Step)) {
	for f := range burstBestEffortImages {
		for s := range burstServingImages {
			b.effects[[2]string{fmt.Sprint("batch", f), fmt.Sprint("serve", s)}] = lowImpactEffect
			if b.random.Float64() < highImpactShare {
				b.effects[[2]string{fmt.Sprint("batch", f), fmt.Sprint("serve", s)}] = highImpactEffect
			}
		}
	}
	for i := range 24 {
		id := fmt.Sprint("serving", i)
		b.phase[id] = b.random.Float64()
		b.submit(queueShort, id, step(4, 0, longRunning, func(s *workload.Step) {
			s.Needs = infra.Resources{MilliCPU: 2800 + int64(b.random.IntN(800)), MemoryMB: 2000}
			s.Image, s.TailTarget = fmt.Sprint("serve", i%burstServingImages), burstTarget
			for _, f := range change {
				f(s)
			}
		}))
	}
	b.run(5 * time.Second)
}

// submitBestEffort submits a random best-effort job, which is accepted.
func (b *burst) submitBestEffort(id string) {
	b.t.Helper()
	b.accept(b.newBestEffort(id), queueLong)
}

// newBestEffort returns a random best-effort job and records when it is due.
func (b *burst) newBestEffort(id string) *workload.Job {
	image := fmt.Sprint("batch", b.random.IntN(burstBestEffortImages))
	var steps []workload.Step
	for i := range 1 + b.random.IntN(2) {
		steps = append(steps, step(4+b.random.IntN(6), 0, func(s *workload.Step) {
			s.Needs = infra.Resources{MilliCPU: 1200 + int64(b.random.IntN(1000)), MemoryMB: 1000}
			s.Estimate = time.Duration(1000+b.random.IntN(2400)) * time.Millisecond
			s.BestEffort, s.Image, s.Checkpointing = true, image, b.random.Float64() < 0.85
			if i > 0 {
				s.After = []int{i - 1}
			}
		}))
	}
	return b.newSteps(queueLong, id, steps)
}

// submitSteps submits a job, which is accepted.
func (b *burst) submitSteps(q workload.Queue, id string, steps []workload.Step) {
	b.t.Helper()
	b.accept(b.newSteps(q, id, steps), q)
}

// newSteps returns a job and records when it is due. Its declared run times are wrong if
// there is noise.
func (b *burst) newSteps(q workload.Queue, id string, steps []workload.Step) *workload.Job {
	job := &workload.Job{ID: id, Queue: q.Name, Steps: steps, Submitted: b.now.UnixMilli()}
	path := time.Duration(0)
	for i := range steps {
		path += steps[i].Estimate
		b.durations[workload.StepID{Job: id, Step: i}] = steps[i].Estimate
		if b.noise > 0 {
			steps[i].Estimate = time.Duration(float64(steps[i].Estimate) * math.Exp(b.noise*b.random.NormFloat64()))
		}
	}
	b.due[id] = b.now.Add(time.Duration(q.Stretch*float64(path)) + q.Target)
	return job
}

// accept accepts and commits a job.
func (b *burst) accept(job *workload.Job, q workload.Queue) {
	b.t.Helper()
	b.state.Accept(b.now, b.now.UnixMilli(), job, q)
	b.jobs = append(b.jobs, job)
	b.flush()
}

// run advances the workers and the scheduler by d.
func (b *burst) run(d time.Duration) {
	for range d / burstTick {
		b.advance(burstTick)
		b.tick++
		for i := range burstWorkers {
			id := worker(i)
			b.work(b.workers[id])
			if (b.tick+i)%ticksPerReport == 0 || len(b.workers[id].ends) > 0 {
				b.sendReport(id)
			}
		}
		b.flush()
		p := b.state.Plan(b.now)
		if b.watch != nil {
			b.watch(p)
		}
		b.execute(p)
		b.state.ObserveCapacity(b.now)
		for id := range b.due {
			if state, ok := b.state.JobState(id); ok && state == workload.Complete && b.ended[id].IsZero() {
				b.ended[id] = b.now
			}
		}
	}
}

// work advances the runs of a worker by one tick.
func (b *burst) work(c *simWorker) {
	for _, id := range c.tasks() {
		r := c.runs[id]
		if r.step.LongRunning {
			if b.slack(c, r) < 1 {
				b.overTarget += burstTick
			}
			continue
		}
		r.progress += time.Duration(float64(burstTick*time.Duration(r.cpuLimit)/100) / c.factor())
		if r.progress >= r.total {
			c.end(id, r, runner.EndDone)
		}
	}
}

// slack returns the ratio of target to tail of a serving run.
func (b *burst) slack(c *simWorker, serving *simRun) float64 {
	at := b.now.Sub(b.startedAt).Seconds()/burstLoadPeriod.Seconds() + b.phase[serving.job]
	slack := 3 - 1.4*math.Sin(2*math.Pi*at)
	for _, r := range c.runs {
		if r.step.BestEffort {
			part := float64(r.step.Needs.MilliCPU) / 16_000 * float64(r.cpuLimit) / 100
			slack -= part * b.effects[[2]string{r.step.Image, serving.step.Image}]
		}
	}
	return max(slack/c.factor(), 0.1)
}

func (c *simWorker) factor() float64 { return max(c.slowdown, 1) }

// tasks returns the tasks with a run, in order of run numbers.
func (c *simWorker) tasks() []workload.TaskID {
	return slices.SortedFunc(maps.Keys(c.runs), func(a, b workload.TaskID) int {
		return cmp.Compare(c.runs[a].number, c.runs[b].number)
	})
}

// end ends a run and records its end.
func (c *simWorker) end(id workload.TaskID, r *simRun, kind runner.EndKind) {
	delete(c.runs, id)
	c.lastEnd++
	saved := ""
	if kind == runner.EndStopped && r.step.Checkpointing {
		saved = fmt.Sprint(r.progress.Milliseconds())
	}
	c.ends = append(c.ends, runner.RunEnd{Number: c.lastEnd, Task: id, Run: r.number, Kind: kind, Checkpoint: saved})
}

// sendReport reports a worker's runs and ends to the scheduler.
func (b *burst) sendReport(id string) {
	b.t.Helper()
	c := b.workers[id]
	var runs []runner.ActiveRun
	for _, task := range c.tasks() {
		r := c.runs[task]
		a := runner.ActiveRun{Task: task, Run: r.number, Percent: 100}
		if r.step.LongRunning && b.now.Before(r.readyAt) {
			a.Percent = 0
		} else if r.step.LongRunning {
			a.Usage = int64(float64(burstTarget.Milliseconds()) / b.slack(c, r))
		} else {
			a.Percent = int(100 * r.progress / r.total)
			a.Usage = r.step.Needs.MilliCPU * int64(r.cpuLimit) / 100
		}
		runs = append(runs, a)
	}
	b.report(id, runs, c.ends)
	c.ends = nil
}

// execute carries out the orders of a plan.
func (b *burst) execute(p dispatch.Plan) {
	b.sawPlan(p)
	for _, o := range p.Stops {
		c := b.workers[o.Worker.ID]
		if r := c.runs[o.Stop.Task]; r != nil && r.number == o.Stop.Run {
			c.end(o.Stop.Task, r, runner.EndStopped)
		}
	}
	for _, o := range p.CPULimits {
		if r := b.workers[o.Worker.ID].runs[o.CPULimit.Task]; r != nil {
			r.cpuLimit = o.CPULimit.Percent
		}
	}
	for _, o := range p.Starts {
		b.startRun(o)
		b.state.HandleStartAnswer(b.now, o, runner.Answer{Status: runner.Done, ClockMS: b.clock()})
	}
}

// startRun starts a run, from its checkpoint if it has one.
func (b *burst) startRun(o dispatch.StartOrder) {
	job := b.job(o.Start.Task.Job)
	r := &simRun{number: o.Start.Run, step: job.Steps[o.Start.Task.Step], job: job.ID, cpuLimit: 100}
	r.total = r.step.Estimate
	if d, ok := b.durations[workload.StepID{Job: job.ID, Step: o.Start.Task.Step}]; ok {
		r.total = d
	}
	if b.stragglers > 0 && b.random.Float64() < b.stragglers {
		r.total *= stragglerFactor
	}
	if o.Start.Checkpoint != "" {
		var ms int64
		if _, err := fmt.Sscan(o.Start.Checkpoint, &ms); err != nil {
			b.t.Fatal(err)
		}
		r.progress = time.Duration(ms) * time.Millisecond
	}
	r.readyAt = b.now.Add(b.readyAfter)
	b.workers[o.Worker.ID].runs[o.Start.Task] = r
}

func (b *burst) job(id string) *workload.Job {
	for _, j := range b.jobs {
		if j.ID == id {
			return j
		}
	}
	b.t.Fatalf("job %s wasn't submitted", id)
	return nil
}

// replaceOwner makes a new owner take over with the committed rows, including
// the interference estimates.
func (b *burst) replaceOwner() {
	b.t.Helper()
	var roster []string
	for i := range burstWorkers {
		roster = append(roster, worker(i))
	}
	b.flush()
	b.takeOver(roster...)
	if err := b.state.ImportEstimates(b.rows[dispatch.EstimatesKey]); err != nil {
		b.t.Fatal(err)
	}
	b.members(burstWorkers)
}
