package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/internal/pause"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// distantWorkers are heldWorkers at a distance: each order takes a round trip.
type distantWorkers struct {
	*heldWorkers
	roundTrip time.Duration
	// silent is set while no order is answered.
	silent bool
	// inFlight counts the orders in flight, most is the highest count.
	inFlight, most int
}

// travel waits for half of a round trip, before or after an order is carried out.
func (d *distantWorkers) travel(ctx context.Context, change int) {
	d.mu.Lock()
	d.inFlight += change
	d.most = max(d.most, d.inFlight)
	silent := d.silent
	d.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	pause.For(ctx, d.roundTrip/2)
}

// Start implements runner.Client.
func (d *distantWorkers) Start(ctx context.Context, at runner.Worker, o runner.Start) runner.Answer {
	d.travel(ctx, 1)
	defer d.travel(ctx, -1)
	if ctx.Err() != nil {
		return runner.Answer{Status: runner.Unknown, Err: ctx.Err()}
	}
	return d.heldWorkers.Start(ctx, at, o)
}

// Stop implements runner.Client.
func (d *distantWorkers) Stop(ctx context.Context, at runner.Worker, o runner.Stop) runner.Answer {
	d.travel(ctx, 1)
	defer d.travel(ctx, -1)
	if ctx.Err() != nil {
		return runner.Answer{Status: runner.Unknown, Err: ctx.Err()}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers[at.ID].endTask(o.Task, runner.EndStopped)
	return d.answer()
}

// endTask ends the run of a task.
func (w *heldWorker) endTask(task workload.TaskID, how runner.EndKind) {
	for i, a := range w.active {
		if a.Task == task {
			w.active[0], w.active[i] = w.active[i], w.active[0]
			w.end(a.Run, how)
			return
		}
	}
}

// running returns the number of runs at work.
func (h *heldWorkers) running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, w := range h.workers {
		n += len(w.active)
	}
	return n
}

// startDistant starts an owner with workers at a distance.
func startDistant(t *testing.T, roundTrip time.Duration, ids ...string) (*Owner, *distantWorkers) {
	t.Helper()
	o, held := startOwnerOn(t, memtable.New(), ids...)
	d := &distantWorkers{heldWorkers: held, roundTrip: roundTrip}
	onLoop(o, func() { o.relays.direct = d })
	return o, d
}

// submitSmall submits jobs of small tasks.
func submitSmall(t *testing.T, o *Owner, jobs int, s workload.Step) {
	t.Helper()
	s.Needs, s.Estimate, s.DisruptionBudget = infra.Resources{MilliCPU: 5, MemoryMB: 1}, time.Hour, -1
	for i := range jobs {
		if r := o.submit(t.Context(), &workload.Job{ID: fmt.Sprint("job", i), Queue: heldQueue.Name, Steps: []workload.Step{s}}, heldQueue); r.Result != ResultDone {
			t.Fatalf("submit: %v", r.Result)
		}
	}
}

// TestStopsOfManyRunsGoOutInTime guards against tasks of cancelled jobs that run on for seconds
// where a worker has many: stops beyond a queue's length were dropped until a later report, and
// went out one after another. The bound is cancel_ms + stop_ms of the pages.
func TestStopsOfManyRunsGoOutInTime(t *testing.T) {
	const jobs, tasks, bound = 24, 100, 3200 * time.Millisecond
	for _, roundTrip := range []time.Duration{2 * time.Millisecond, 4 * time.Millisecond, 20 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			o, workers := startDistant(t, roundTrip, "w0")
			submitSmall(t, o, jobs, workload.Step{Tasks: tasks})
			within(t, 30*time.Second, "all tasks run", func() bool { return workers.running() == jobs*tasks })
			begun := time.Now()
			for i := range jobs {
				go o.cancel(t.Context(), fmt.Sprint("job", i))
			}
			within(t, bound, "no task runs", func() bool { return workers.running() == 0 })
			t.Logf("round trip %v: all stopped after %v", roundTrip, time.Since(begun))
		})
	}
}

// TestGangOfManyMembersStartsWhole guards against a gang that never comes together: the starts of
// its members went out one after another, those that waited too long weren't sent, and the first
// ones waited in vain.
func TestGangOfManyMembersStartsWhole(t *testing.T) {
	for _, members := range []int{150, 200, 400, 1000} {
		synctest.Test(t, func(t *testing.T) {
			o, workers := startDistant(t, 4*time.Millisecond, "w0")
			submitSmall(t, o, 1, workload.Step{Tasks: members, Gang: true})
			begun := time.Now()
			within(t, 3*time.Second, "all members run", func() bool { return workers.running() == members })
			t.Logf("%d members run after %v", members, time.Since(begun))
			if n := len(workers.startsAt("w0")); n != members {
				t.Errorf("%d starts, want %d", n, members)
			}
		})
	}
}

// TestSilentWorkerGetsOneOrderAtATime guards against many connections that wait for a worker which
// doesn't answer.
func TestSilentWorkerGetsOneOrderAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, workers := startDistant(t, 4*time.Millisecond, "w0")
		submitSmall(t, o, 1, workload.Step{Tasks: 300})
		within(t, 10*time.Second, "all tasks run", func() bool { return workers.running() == 300 })
		pause.For(t.Context(), time.Second)
		workers.mu.Lock()
		workers.silent, workers.most = true, 0
		workers.mu.Unlock()
		go o.cancel(t.Context(), "job0")
		pause.For(t.Context(), 2*time.Second)
		workers.mu.Lock()
		defer workers.mu.Unlock()
		if workers.most > maxLanes+1 {
			t.Errorf("%d orders in flight to a silent worker", workers.most)
		}
		if q := o.sessions["w0"].orders; q.allowed != 0 {
			t.Errorf("%d extra lanes are allowed for a silent worker, want none", q.allowed)
		}
	})
}

// TestRefusedMemberStopsItsGang guards against members of a gang that wait in vain, and end alone,
// since the start of another one was refused.
func TestRefusedMemberStopsItsGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, workers := startDistant(t, 4*time.Millisecond, "w0", "w1")
		refusing := &refusingWorkers{distantWorkers: workers}
		onLoop(o, func() { o.relays.direct = refusing })
		submitSmall(t, o, 1, workload.Step{Tasks: 20, Gang: true})
		within(t, 2*time.Second, "the gang runs whole", func() bool { return workers.running() == 20 })
		refusing.mu.Lock()
		defer refusing.mu.Unlock()
		for id, w := range workers.workers {
			for _, run := range w.active {
				if run.Run == refusing.refused {
					t.Errorf("a member of the refused run is at work on %s", id)
				}
			}
		}
	})
}

// refusingWorkers refuse the fifth start.
type refusingWorkers struct {
	*distantWorkers
	starts int
	// refused is the number of the run of which a member was refused.
	refused uint64
}

// Start implements runner.Client.
func (r *refusingWorkers) Start(ctx context.Context, at runner.Worker, o runner.Start) runner.Answer {
	r.mu.Lock()
	r.starts++
	refuse := r.starts == 5
	if refuse {
		r.refused = o.Run
	}
	r.mu.Unlock()
	if refuse {
		return runner.Answer{Status: runner.NoCapacity, ClockMS: r.answer().ClockMS}
	}
	return r.distantWorkers.Start(ctx, at, o)
}
