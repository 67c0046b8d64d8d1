package queue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/queue"
)

var start = time.Unix(1000, 0)

// TestCompare checks the order of entries that differ in one property each.
func TestCompare(t *testing.T) {
	soon, later := start.Add(time.Second), start.Add(5*time.Second)
	past := start.Add(-time.Second)
	entries := []*queue.Entry{
		{ID: "expired second", Priority: 2, LatestStart: past, LatestUsefulStart: past, Arrived: soon},
		{ID: "expired first", Priority: 2, LatestStart: past, LatestUsefulStart: past, Arrived: past},
		{ID: "late large", Priority: 2, LatestStart: past, LatestUsefulStart: later, RemainingWork: 90},
		{ID: "late small", Priority: 2, LatestStart: past, LatestUsefulStart: later, RemainingWork: 10},
		{ID: "on time, whole", Priority: 2, LatestStart: soon, LatestUsefulStart: later, Effort: queue.EffortOf(400, 400)},
		{ID: "on time, large and begun", Priority: 2, LatestStart: later, LatestUsefulStart: later, Effort: queue.EffortOf(300, 900)},
		{ID: "on time, small", Priority: 2, LatestStart: later, LatestUsefulStart: later, Effort: queue.EffortOf(64, 64)},
		{ID: "on time later", Priority: 2, LatestStart: later, LatestUsefulStart: later},
		{ID: "on time soon", Priority: 2, LatestStart: soon, LatestUsefulStart: later},
		{ID: "restart", Priority: 2, Restart: true, LatestStart: past, LatestUsefulStart: past},
		{ID: "long-running", Priority: 2, LongRunning: true, LatestStart: past, LatestUsefulStart: past},
		{ID: "long-running, two per worker", Priority: 2, LongRunning: true, MaxPerWorker: 2, LatestStart: past, LatestUsefulStart: past},
		{ID: "long-running, one per worker", Priority: 2, LongRunning: true, MaxPerWorker: 1, LatestStart: later, LatestUsefulStart: later},
		{ID: "first queue, expired", Priority: 0, LatestStart: past, LatestUsefulStart: past},
	}
	slices.SortFunc(entries, func(a, b *queue.Entry) int { return queue.Compare(a, b, start) })
	want := []string{
		"restart", "first queue, expired", "long-running, one per worker", "long-running, two per worker", "long-running", "on time soon", "on time later", "on time, small", "on time, large and begun", "on time, whole", "late small", "late large", "expired first", "expired second",
	}
	for i, e := range entries {
		if e.ID != want[i] {
			t.Errorf("position %d: %s, want %s", i, e.ID, want[i])
		}
	}
}

// burst returns 60 single-task jobs of 1 to 4 s, with an objective of twice
// the run time plus one second.
func burst() []queue.Entry {
	var all []queue.Entry
	for i := range 60 {
		arrived := start.Add(time.Duration(i) * 250 * time.Millisecond)
		run := time.Duration(1+(i*7)%4) * time.Second
		objective := arrived.Add(2*run + time.Second)
		all = append(all, queue.Entry{
			ID: fmt.Sprint(i), Arrived: arrived, RemainingWork: run.Milliseconds(), Effort: queue.EffortOf(run.Milliseconds(), 0),
			LatestStart: objective.Add(-run), LatestUsefulStart: arrived.Add(3 * objective.Sub(arrived)).Add(-run),
		})
	}
	return all
}

// replay runs the load on workers in the order of compare and counts the jobs
// that meet their objective and those that end while useful.
func replay(load []queue.Entry, workers int, compare func(a, b *queue.Entry, now time.Time) int) (onTime, useful int) {
	free := make([]time.Time, workers)
	for i := range free {
		free[i] = start
	}
	waiting := load
	for len(waiting) > 0 {
		i := 0
		for k := range free {
			if free[k].Before(free[i]) {
				i = k
			}
		}
		now := free[i]
		best := -1
		for k := range waiting {
			if waiting[k].Arrived.After(now) {
				continue
			}
			if best < 0 || compare(&waiting[k], &waiting[best], now) < 0 {
				best = k
			}
		}
		if best < 0 {
			free[i] = now.Add(50 * time.Millisecond)
			continue
		}
		e := waiting[best]
		waiting = slices.Delete(slices.Clone(waiting), best, best+1)
		if !now.After(e.LatestStart) {
			onTime++
		}
		if !now.After(e.LatestUsefulStart) {
			useful++
		}
		free[i] = now.Add(time.Duration(e.RemainingWork) * time.Millisecond)
	}
	return onTime, useful
}

// TestBurst checks that under twice the load that fits, more jobs meet their
// objective than with first come first served or earliest deadline first.
func TestBurst(t *testing.T) {
	const workers = 5
	fifo := func(a, b *queue.Entry, _ time.Time) int { return a.Arrived.Compare(b.Arrived) }
	edf := func(a, b *queue.Entry, _ time.Time) int { return a.LatestStart.Compare(b.LatestStart) }
	first, firstUseful := replay(burst(), workers, fifo)
	deadline, deadlineUseful := replay(burst(), workers, edf)
	ours, oursUseful := replay(burst(), workers, queue.Compare)
	t.Logf("on time, useful of 60: first come first served %d, %d; earliest deadline first %d, %d; by timeliness %d, %d",
		first, firstUseful, deadline, deadlineUseful, ours, oursUseful)
	if ours <= first || ours <= deadline {
		t.Errorf("%d jobs on time, want more than %d (first come first served) and %d (earliest deadline first)", ours, first, deadline)
	}
}
