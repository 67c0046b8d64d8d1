package control

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/runner"
)

// heldWorkers is a set of in-memory workers whose starts can be held. It implements
// Members and runner.Client. A start counts as sent once it is called.
type heldWorkers struct {
	mu       sync.Mutex
	begun    time.Time
	order    []string
	workers  map[string]*heldWorker
	released map[string]chan struct{}
}

// heldWorker is one of heldWorkers.
type heldWorker struct {
	starts  []runner.Start
	active  []runner.ActiveRun
	ends    []runner.RunEnd
	lastEnd uint64
	// holding is set while a start is held, reported once a renewal was answered.
	holding, reported bool
	// changed is closed when a run ends.
	changed chan struct{}
}

// newHeldWorkers returns idle workers, each labelled with its ID.
func newHeldWorkers(ids ...string) *heldWorkers {
	h := &heldWorkers{begun: time.Now(), order: ids, workers: map[string]*heldWorker{}, released: map[string]chan struct{}{}}
	for _, id := range ids {
		h.workers[id] = &heldWorker{changed: make(chan struct{})}
	}
	return h
}

// List implements Members.
func (h *heldWorkers) List(context.Context) ([]runner.Worker, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []runner.Worker
	for _, id := range h.order {
		all = append(all, runner.Worker{
			ID: id, Address: "127.0.0.1:1", Pool: heldQueue.Pool, Labels: []string{id},
			Capacity: infra.Resources{MilliCPU: 16_000, MemoryMB: 64_000},
		})
	}
	return all, nil
}

// answer returns an answer with the workers' clock.
func (h *heldWorkers) answer() runner.Answer {
	return runner.Answer{Status: runner.Done, ClockMS: 1 + time.Since(h.begun).Milliseconds()}
}

// Start implements runner.Client.
func (h *heldWorkers) Start(ctx context.Context, at runner.Worker, o runner.Start) runner.Answer {
	h.mu.Lock()
	w, released := h.workers[at.ID], h.released[at.ID]
	w.starts = append(w.starts, o)
	w.holding = released != nil
	h.mu.Unlock()
	if released != nil {
		select {
		case <-released:
		case <-ctx.Done():
			return runner.Answer{Status: runner.Unknown, Err: ctx.Err()}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	w.holding = false
	w.active = append(w.active, runner.ActiveRun{Task: o.Task, Run: o.Run})
	return h.answer()
}

// Stop implements runner.Client.
func (h *heldWorkers) Stop(_ context.Context, at runner.Worker, o runner.Stop) runner.Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.workers[at.ID].end(o.Run, runner.EndStopped)
	return h.answer()
}

// SetCPULimit implements runner.Client.
func (h *heldWorkers) SetCPULimit(context.Context, runner.Worker, runner.CPULimit) runner.Answer {
	return h.answer()
}

// Renew implements runner.Client. It holds its answer until a run ends.
func (h *heldWorkers) Renew(ctx context.Context, at runner.Worker, o runner.Renewal) (runner.Answer, runner.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.workers[at.ID]
	w.ends = slices.DeleteFunc(w.ends, func(e runner.RunEnd) bool { return e.Number <= o.Acknowledged })
	if o.WaitMS > 0 && len(w.ends) == 0 {
		changed := w.changed
		h.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-ctx.Done():
		}
		h.mu.Lock()
	}
	w.reported = true
	a := h.answer()
	return a, runner.Report{ClockMS: a.ClockMS, Active: slices.Clone(w.active), Ends: slices.Clone(w.ends)}
}

// end ends a run.
func (w *heldWorker) end(run uint64, how runner.EndKind) {
	i := slices.IndexFunc(w.active, func(a runner.ActiveRun) bool { return a.Run == run })
	if i < 0 {
		return
	}
	w.lastEnd++
	w.ends = append(w.ends, runner.RunEnd{Number: w.lastEnd, Task: w.active[i].Task, Run: run, Kind: how})
	w.active = slices.Delete(w.active, i, i+1)
	close(w.changed)
	w.changed = make(chan struct{})
}

// holdStarts holds the worker's starts until releaseStarts.
func (h *heldWorkers) holdStarts(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released[id] = make(chan struct{})
}

// releaseStarts carries the held start out; later ones aren't held.
func (h *heldWorkers) releaseStarts(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.released[id])
	delete(h.released, id)
}

// held reports whether a start is held at the worker.
func (h *heldWorkers) held(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.workers[id].holding
}

// reported reports whether the worker has answered a renewal.
func (h *heldWorkers) reported(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.workers[id].reported
}

// finishAll completes all runs of the worker.
func (h *heldWorkers) finishAll(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.workers[id]
	for _, a := range slices.Clone(w.active) {
		w.end(a.Run, runner.EndDone)
	}
}

// startsAt returns the jobs of the starts sent to a worker.
func (h *heldWorkers) startsAt(id string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var jobs []string
	for _, s := range h.workers[id].starts {
		jobs = append(jobs, s.Task.Job)
	}
	return jobs
}

// expectStarts checks which jobs' starts were sent to a worker.
func (h *heldWorkers) expectStarts(t *testing.T, id string, want ...string) {
	t.Helper()
	if got := h.startsAt(id); !slices.Equal(got, want) {
		t.Errorf("starts sent to %s: %v, want %v", id, got, want)
	}
}
