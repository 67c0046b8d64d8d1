package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

const (
	normalTailMS, slowTailMS = 13, 78
	servingTarget            = 50 * time.Millisecond
)

// servingPool is a pool with one serving task on each worker and two workers without.
type servingPool struct {
	*rig
	workers int
	// at holds the runs by worker, slow the slow workers, silent those that don't answer.
	at     map[string]dispatch.StartOrder
	slow   map[string]bool
	silent map[string]bool
	ended  map[string]runner.RunEnd
	ends   uint64
	// moved counts the stops because of slow workers.
	moved int
}

// newServingPool returns a pool whose tasks, all of one step, have served for some seconds.
func newServingPool(t *testing.T, workers, tasks int, change ...func(*workload.Step)) *servingPool {
	return newServingJobs(t, workers, 1, tasks, change...)
}

// newServingJobs is newServingPool with several jobs of one step each.
func newServingJobs(t *testing.T, workers, jobs, tasks int, change ...func(*workload.Step)) *servingPool {
	p := &servingPool{
		rig: paceRig(t, 0), workers: workers, at: map[string]dispatch.StartOrder{}, slow: map[string]bool{},
		silent: map[string]bool{}, ended: map[string]runner.RunEnd{},
	}
	p.startedAt = p.now
	p.startOwner(1)
	p.members(workers)
	for i := range workers {
		p.report(worker(i), nil, nil)
	}
	for i := range jobs {
		p.submit(queueShort, fmt.Sprint("serving", i), step(tasks, 9, longRunning, func(s *workload.Step) {
			s.Image, s.TailTarget, s.MaxPerWorker = "web", servingTarget, 1
			for _, f := range change {
				f(s)
			}
		}))
	}
	p.ticks(12)
	if len(p.at) != jobs*tasks {
		t.Fatalf("%d of %d tasks run", len(p.at), jobs*tasks)
	}
	return p
}

// tick lets all workers report, plans and carries out the plan. It returns the stops.
func (p *servingPool) tick() []dispatch.StopOrder {
	p.t.Helper()
	p.advance(500 * time.Millisecond)
	for i := range p.workers {
		id := worker(i)
		if p.silent[id] {
			p.noAnswer(id)
			continue
		}
		p.reportTail(id)
	}
	p.flush()
	plan := p.state.Plan(p.now)
	for _, o := range plan.Stops {
		if o.Cause == dispatch.SlowWorker {
			p.moved++
		}
		if run, runs := p.at[o.Worker.ID]; runs && run.Start.Run == o.Stop.Run {
			delete(p.at, o.Worker.ID)
			p.ends++
			p.ended[o.Worker.ID] = end(p.ends, run, runner.EndStopped)
		}
	}
	for _, o := range plan.Starts {
		p.state.HandleStartAnswer(p.now, o, runner.Answer{Status: runner.Done, ClockMS: p.clock()})
		p.at[o.Worker.ID] = o
	}
	return plan.Stops
}

func (p *servingPool) reportTail(id string) {
	p.t.Helper()
	var runs []runner.ActiveRun
	var ends []runner.RunEnd
	if o, ok := p.at[id]; ok {
		// Tails vary a little: a report that repeats the previous one is ignored.
		tail := int64(normalTailMS) + p.sinceStart().Milliseconds()/500%2
		if p.slow[id] {
			tail = slowTailMS + p.sinceStart().Milliseconds()/500%2
		}
		runs = append(runs, withTail(o, tail))
	}
	if e, ok := p.ended[id]; ok {
		ends = append(ends, e)
		delete(p.ended, id)
	}
	p.report(id, runs, ends)
}

func (p *servingPool) ticks(n int) {
	p.t.Helper()
	for range n {
		p.tick()
	}
}

// busy returns the workers with a task, in order.
func (p *servingPool) busy() []string { return slices.Sorted(maps.Keys(p.at)) }

// makeSlow makes n of the workers with a task slow and returns them.
func (p *servingPool) makeSlow(n int) []string {
	ids := p.busy()[:n]
	for _, id := range ids {
		p.slow[id] = true
	}
	return ids
}

// found returns what was found of workers since the last call, as "worker finding".
func (p *servingPool) found() []string {
	var all []string
	for _, c := range p.state.TakePaceChanges() {
		all = append(all, c.Worker+" "+c.Found.String())
	}
	return all
}
