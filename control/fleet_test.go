package control_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// fleet is a set of in-memory workers. It implements control.Members and
// runner.Client.
type fleet struct {
	mu        sync.Mutex
	startedAt time.Time
	workers   map[string]*fakeWorker
	// hang, if set for a worker, blocks its starts until the channel is closed.
	hang map[string]chan struct{}
	// hanging receives a value for each blocked start.
	hanging chan struct{}
	// started receives each start that a worker accepted.
	started chan runner.Start
	// duplicates holds tasks that were started while they were running.
	duplicates []workload.TaskID
}

// fakeWorker is a worker of a fleet.
type fakeWorker struct {
	token   uint64
	ends    []runner.RunEnd
	lastEnd uint64
	active  map[workload.TaskID]runner.ActiveRun
	stopped map[workload.TaskID]uint64
}

// newFleet returns a fleet of n workers.
func newFleet(n int) *fleet {
	f := &fleet{
		startedAt: time.Now(), workers: map[string]*fakeWorker{}, hang: map[string]chan struct{}{},
		started: make(chan runner.Start, 1000), hanging: make(chan struct{}, 1000),
	}
	for i := range n {
		f.workers[fmt.Sprintf("w%d", i)] = &fakeWorker{
			active: map[workload.TaskID]runner.ActiveRun{}, stopped: map[workload.TaskID]uint64{},
		}
	}
	return f
}

// List implements control.Members.
func (f *fleet) List(context.Context) ([]runner.Worker, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []runner.Worker
	for id := range f.workers {
		all = append(all, runner.Worker{
			ID: id, Address: "127.0.0.1:1", Pool: "pool", Zone: testZone, Capacity: infra.Resources{MilliCPU: 16_000, MemoryMB: 64_000},
		})
	}
	return all, nil
}

// clock returns the time of the workers' clock in milliseconds.
func (f *fleet) clock() int64 { return 1 + time.Since(f.startedAt).Milliseconds() }

// fence checks and records a fencing token; it returns false if the token is
// outdated.
func (w *fakeWorker) fence(token uint64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

// Start implements runner.Client.
func (f *fleet) Start(ctx context.Context, at runner.Worker, o runner.Start) runner.Answer {
	f.mu.Lock()
	hang := f.hang[at.ID]
	f.mu.Unlock()
	if hang != nil {
		f.hanging <- struct{}{}
		select {
		case <-hang:
		case <-ctx.Done():
			return runner.Answer{Status: runner.Unknown, Err: ctx.Err()}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[at.ID]
	if !w.fence(o.Token) {
		return runner.Answer{Status: runner.Fenced, ClockMS: f.clock()}
	}
	if o.Run <= w.stopped[o.Task] {
		return runner.Answer{Status: runner.Superseded, ClockMS: f.clock()}
	}
	for _, other := range f.workers {
		if _, runs := other.active[o.Task]; runs {
			f.duplicates = append(f.duplicates, o.Task)
		}
	}
	w.active[o.Task] = runner.ActiveRun{Task: o.Task, Run: o.Run, Percent: 100}
	f.started <- o
	return runner.Answer{Status: runner.Done, ClockMS: f.clock()}
}

// Stop implements runner.Client.
func (f *fleet) Stop(_ context.Context, at runner.Worker, o runner.Stop) runner.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[at.ID]
	if !w.fence(o.Token) {
		return runner.Answer{Status: runner.Fenced, ClockMS: f.clock()}
	}
	w.stopped[o.Task] = o.Run
	w.end(o.Task, runner.EndStopped)
	return runner.Answer{Status: runner.Done, ClockMS: f.clock()}
}

// SetCPULimit implements runner.Client.
func (f *fleet) SetCPULimit(context.Context, runner.Worker, runner.CPULimit) runner.Answer {
	return runner.Answer{Status: runner.Done, ClockMS: f.clock()}
}

// Renew implements runner.Client. It holds its answer for a few milliseconds at
// most, even if the owner allows more.
func (f *fleet) Renew(ctx context.Context, at runner.Worker, o runner.Renewal) (runner.Answer, runner.Report) {
	f.mu.Lock()
	w := f.workers[at.ID]
	ok := w.fence(o.Token)
	rep := runner.Report{ClockMS: f.clock()}
	if ok {
		for len(w.ends) > 0 && w.ends[0].Number <= o.Acknowledged {
			w.ends = w.ends[1:]
		}
		rep.Ends = append(rep.Ends, w.ends...)
		for _, a := range w.active {
			rep.Active = append(rep.Active, a)
		}
	}
	f.mu.Unlock()
	if !ok {
		return runner.Answer{Status: runner.Fenced, ClockMS: rep.ClockMS}, runner.Report{}
	}
	if o.WaitMS > 0 && len(rep.Ends) == 0 {
		// A short wait, since runs that end meanwhile are reported by the next poll.
		t := time.NewTimer(5 * time.Millisecond)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return runner.Answer{Status: runner.Done, ClockMS: rep.ClockMS}, rep
}

// end ends the active run of a task.
func (w *fakeWorker) end(id workload.TaskID, how runner.EndKind) {
	a, runs := w.active[id]
	if !runs {
		return
	}
	delete(w.active, id)
	w.lastEnd++
	w.ends = append(w.ends, runner.RunEnd{Number: w.lastEnd, Task: id, Run: a.Run, Kind: how})
}

// finish makes a task complete on every worker that runs it.
func (f *fleet) finish(id workload.TaskID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.end(id, runner.EndDone)
	}
}
