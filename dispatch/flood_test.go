package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/workload"
)

// TestFloodOfLongRunningJobs replays a start of day: 37 jobs of long-running
// tasks of five images come at once and fill three quarters of 48 workers; half
// of the jobs may have one or two tasks on a worker. Fillers suit some images and
// not others, so workers that serve one image only are worth most to them. Placed
// together, the jobs keep images apart; one after the other they don't.
func TestFloodOfLongRunningJobs(t *testing.T) {
	together := mixedWorkers(t, func(*rig) []dispatch.StartOrder { return nil })
	inTurn := mixedWorkers(t, (*rig).plan)
	t.Logf("of 48 workers serve several images: %d placed together, %d in turn", together, inTurn)
	if together > 2 || inTurn <= together {
		t.Errorf("%d workers serve several images, want at most 2 and fewer than the %d when placed in turn", together, inTurn)
	}
}

// mixedWorkers submits the jobs, calling after for each, and counts the workers
// that then serve more than one image.
func mixedWorkers(t *testing.T, after func(*rig) []dispatch.StartOrder) int {
	t.Helper()
	const jobs, workers = 37, 48
	r := newRig(t, workers)
	images := map[string]map[string]bool{}
	place := func(starts []dispatch.StartOrder) {
		for _, o := range starts {
			id := o.Worker.ID
			if images[id] == nil {
				images[id] = map[string]bool{}
			}
			images[id][imageOf(o.Start.Task.Job)] = true
		}
	}
	tasks := 0
	for i := range jobs {
		n := 3 + i*5%7 // 3 to 9 tasks
		tasks += n
		bound := []int{0, 1, 0, 2}[i%4]
		r.submit(queueShort, fmt.Sprintf("image%d-%d", i*i%5, i), step(n, 0, longRunning, func(s *workload.Step) {
			s.Needs.MilliCPU = int64(2200 + i*700%2100) // 2.2 to 4.2 of 16 cores
			s.Image, s.TailTarget, s.MaxPerWorker = imageOf(fmt.Sprintf("image%d-%d", i*i%5, i)), 100*time.Millisecond, bound
		}))
		place(after(r))
	}
	place(r.plan())
	placed, mixed := 0, 0
	for _, of := range images {
		placed++
		if len(of) > 1 {
			mixed++
		}
	}
	if placed < workers/2 {
		t.Fatalf("%d workers got tasks, the load of %d tasks should fill most", placed, tasks)
	}
	return mixed
}

// imageOf returns the image of a job: what stands before the dash in its ID.
func imageOf(job string) string { return job[:len("image0")] }
