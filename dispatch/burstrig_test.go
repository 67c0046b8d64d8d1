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

// The load of a burst: serving tasks reserve four fifths of the workers, and
// fillers ask for most of what these leave, for a while for more.
const (
	burstWorkers  = 24
	burstImages   = 4 // of those who serve
	burstFillers  = 6 // images that fill
	burstTarget   = 60 * time.Millisecond
	burstSwing    = 20 * time.Second
	quietTakes    = 1.5  // of the slack, a filler with a whole worker
	loudTakes     = 13.0 // the same for a pair that disturbs
	loudShare     = 0.55
	burstTick     = 100 * time.Millisecond
	ticksToReport = 5
)

// burst replays a burst of fillers on simulated workers whose tails follow
// what runs there.
type burst struct {
	*rig
	random *rand.Rand
	// takes is what a filler's image takes from the slack of an image.
	takes   map[[2]string]float64
	phase   map[string]float64
	workers map[string]*simWorker
	// ended and due are when each job was complete, and should have been.
	ended, due map[string]time.Time
	// over is the time that serving tasks spent over their target.
	over time.Duration
	tick int
}

// simWorker is a simulated worker.
type simWorker struct {
	runs map[workload.TaskID]*simRun
	ends []runner.RunEnd
	last uint64
}

// simRun is a run on a simulated worker.
type simRun struct {
	number uint64
	step   workload.Step
	job    string
	// done is the work done and need the work in all, at full pace.
	done, need time.Duration
	pace       int
}

// newBurst returns workers that serve, before the first filler.
func newBurst(t *testing.T, seed uint64, without mechanism.Set) *burst {
	b := &burst{
		rig:    &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}, without: without},
		random: rand.New(rand.NewPCG(seed, 1)), takes: map[[2]string]float64{}, phase: map[string]float64{},
		workers: map[string]*simWorker{}, ended: map[string]time.Time{}, due: map[string]time.Time{},
	}
	b.began = b.now
	b.own(1)
	b.members(burstWorkers)
	for i := range burstWorkers {
		b.workers[worker(i)] = &simWorker{runs: map[workload.TaskID]*simRun{}}
	}
	for f := range burstFillers {
		for s := range burstImages {
			b.takes[[2]string{fmt.Sprint("fill", f), fmt.Sprint("serve", s)}] = quietTakes
			if b.random.Float64() < loudShare {
				b.takes[[2]string{fmt.Sprint("fill", f), fmt.Sprint("serve", s)}] = loudTakes
			}
		}
	}
	for i := range 24 {
		id := fmt.Sprint("serving", i)
		b.phase[id] = b.random.Float64()
		b.submit(queueShort, id, step(4, 0, longRunning, func(s *workload.Step) {
			s.Needs = infra.Resources{MilliCPU: 2800 + int64(b.random.IntN(800)), MemoryMB: 2000}
			s.Image, s.TailTarget = fmt.Sprint("serve", i%burstImages), burstTarget
		}))
	}
	b.run(5 * time.Second)
	return b
}

// draft submits a job of fillers.
func (b *burst) draft(id string) {
	b.t.Helper()
	image := fmt.Sprint("fill", b.random.IntN(burstFillers))
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
	}
	b.due[id] = b.now.Add(time.Duration(queueLong.Stretch*float64(path)) + queueLong.Target)
	b.state.Accept(b.now, b.now.UnixMilli(), job, queueLong)
	b.jobs = append(b.jobs, job)
	b.flush()
}

// run lets time pass on the workers and at the scheduler.
func (b *burst) run(d time.Duration) {
	for range d / burstTick {
		b.pass(burstTick)
		b.tick++
		for i := range burstWorkers {
			id := worker(i)
			b.work(b.workers[id])
			if (b.tick+i)%ticksToReport == 0 || len(b.workers[id].ends) > 0 {
				b.tell(id)
			}
		}
		b.flush()
		b.carryOut(b.state.Plan(b.now))
		for id := range b.due {
			if state, ok := b.state.JobState(id); ok && state == workload.Complete && b.ended[id].IsZero() {
				b.ended[id] = b.now
			}
		}
	}
}

// work advances the runs of a worker by a tick.
func (b *burst) work(c *simWorker) {
	for _, id := range c.tasks() {
		r := c.runs[id]
		if r.step.LongRunning {
			if b.slack(c, r) < 1 {
				b.over += burstTick
			}
			continue
		}
		r.done += burstTick * time.Duration(r.pace) / 100
		if r.done >= r.need {
			c.end(id, r, runner.EndDone)
		}
	}
}

// slack returns the target over the tail of a serving run.
func (b *burst) slack(c *simWorker, serving *simRun) float64 {
	at := b.now.Sub(b.began).Seconds()/burstSwing.Seconds() + b.phase[serving.job]
	slack := 3 - 1.4*math.Sin(2*math.Pi*at)
	for _, r := range c.runs {
		if r.step.BestEffort {
			part := float64(r.step.Needs.MilliCPU) / 16_000 * float64(r.pace) / 100
			slack -= part * b.takes[[2]string{r.step.Image, serving.step.Image}]
		}
	}
	return max(slack, 0.1)
}

// tasks returns the tasks that run, in the order of their runs.
func (c *simWorker) tasks() []workload.TaskID {
	return slices.SortedFunc(maps.Keys(c.runs), func(a, b workload.TaskID) int {
		return cmp.Compare(c.runs[a].number, c.runs[b].number)
	})
}

// end lists an end.
func (c *simWorker) end(id workload.TaskID, r *simRun, kind runner.EndKind) {
	delete(c.runs, id)
	c.last++
	saved := ""
	if kind == runner.EndStopped && r.step.Checkpointing {
		saved = fmt.Sprint(r.done.Milliseconds())
	}
	c.ends = append(c.ends, runner.RunEnd{Number: c.last, Task: id, Run: r.number, Kind: kind, Checkpoint: saved})
}

// tell reports what runs on a worker and what has ended.
func (b *burst) tell(id string) {
	b.t.Helper()
	c := b.workers[id]
	var at []runner.ActiveRun
	for _, task := range c.tasks() {
		r := c.runs[task]
		a := runner.ActiveRun{Task: task, Run: r.number, Percent: 100}
		if r.step.LongRunning {
			a.Usage = int64(float64(burstTarget.Milliseconds()) / b.slack(c, r))
		} else {
			a.Percent = int(100 * r.done / r.need)
			a.Usage = r.step.Needs.MilliCPU * int64(r.pace) / 100
		}
		at = append(at, a)
	}
	b.report(id, at, c.ends)
	c.ends = nil
}

// carryOut has the workers carry the orders out.
func (b *burst) carryOut(p dispatch.Plan) {
	for _, o := range p.Stops {
		c := b.workers[o.Worker.ID]
		if r := c.runs[o.Stop.Task]; r != nil && r.number == o.Stop.Run {
			c.end(o.Stop.Task, r, runner.EndStopped)
		}
	}
	for _, o := range p.CPULimits {
		if r := b.workers[o.Worker.ID].runs[o.CPULimit.Task]; r != nil {
			r.pace = o.CPULimit.Percent
		}
	}
	for _, o := range p.Starts {
		b.begin(o)
		b.state.HandleStartAnswer(b.now, o, runner.Answer{Status: runner.Done, ClockMS: b.clock()})
	}
}

// begin starts a run, from its checkpoint if it has one.
func (b *burst) begin(o dispatch.StartOrder) {
	job := b.job(o.Start.Task.Job)
	r := &simRun{number: o.Start.Run, step: job.Steps[o.Start.Task.Step], job: job.ID, pace: 100}
	r.need = r.step.Estimate
	if o.Start.Checkpoint != "" {
		var ms int64
		if _, err := fmt.Sscan(o.Start.Checkpoint, &ms); err != nil {
			b.t.Fatal(err)
		}
		r.done = time.Duration(ms) * time.Millisecond
	}
	b.workers[o.Worker.ID].runs[o.Start.Task] = r
}

// job returns a job that was submitted.
func (b *burst) job(id string) *workload.Job {
	for _, j := range b.jobs {
		if j.ID == id {
			return j
		}
	}
	b.t.Fatalf("job %s was never submitted", id)
	return nil
}

// replaceOwner has another owner take over from what is durable.
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
