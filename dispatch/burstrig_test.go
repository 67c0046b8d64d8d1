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
}

// simWorker is a simulated worker.
type simWorker struct {
	runs    map[workload.TaskID]*simRun
	ends    []runner.RunEnd
	lastEnd uint64
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
}

// newBurst returns workers with serving tasks and no best-effort jobs.
func newBurst(t *testing.T, seed uint64, disabled mechanism.Set) *burst {
	b := &burst{
		rig:    &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}, disabled: disabled},
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
		}))
	}
	b.run(5 * time.Second)
	return b
}

// submitBestEffort submits a random best-effort job, which is accepted.
func (b *burst) submitBestEffort(id string) {
	b.t.Helper()
	b.accept(b.newBestEffort(id))
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
	job := &workload.Job{ID: id, Queue: queueLong.Name, Steps: steps, Submitted: b.now.UnixMilli()}
	path := time.Duration(0)
	for i := range steps {
		path += steps[i].Estimate
		b.durations[workload.StepID{Job: id, Step: i}] = steps[i].Estimate
		if b.noise > 0 {
			steps[i].Estimate = time.Duration(float64(steps[i].Estimate) * math.Exp(b.noise*b.random.NormFloat64()))
		}
	}
	b.due[id] = b.now.Add(time.Duration(queueLong.Stretch*float64(path)) + queueLong.Target)
	return job
}

// accept accepts and commits a best-effort job.
func (b *burst) accept(job *workload.Job) {
	b.t.Helper()
	b.state.Accept(b.now, b.now.UnixMilli(), job, queueLong)
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
		b.execute(b.state.Plan(b.now))
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
		r.progress += burstTick * time.Duration(r.cpuLimit) / 100
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
	return max(slack, 0.1)
}

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
		if r.step.LongRunning {
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
	if o.Start.Checkpoint != "" {
		var ms int64
		if _, err := fmt.Sscan(o.Start.Checkpoint, &ms); err != nil {
			b.t.Fatal(err)
		}
		r.progress = time.Duration(ms) * time.Millisecond
	}
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
