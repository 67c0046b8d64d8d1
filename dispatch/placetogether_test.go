package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/workload"
)

// TestLongRunningJobsPlacedTogether checks that long-running jobs of several
// images that arrive at the same time are placed together, which keeps images
// on separate workers; placed one by one they mix.
func TestLongRunningJobsPlacedTogether(t *testing.T) {
	batched := mixedWorkers(t, func(*rig) []dispatch.StartOrder { return nil })
	oneByOne := mixedWorkers(t, (*rig).plan)
	t.Logf("workers with several images: %d when placed together, %d when placed one by one", batched, oneByOne)
	if batched > 2 || oneByOne <= batched {
		t.Errorf("%d workers serve several images, want at most 2 and fewer than the %d when placed one by one", batched, oneByOne)
	}
}

// mixedWorkers submits the jobs, calls after following each, and counts the
// workers that serve more than one image.
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
		maxPerWorker := []int{0, 1, 0, 2}[i%4]
		r.submit(queueShort, fmt.Sprintf("image%d-%d", i*i%5, i), step(n, 0, longRunning, func(s *workload.Step) {
			s.Needs.MilliCPU = int64(2200 + i*700%2100) // 2.2 to 4.2 of 16 cores
			s.Image, s.TailTarget, s.MaxPerWorker = imageOf(fmt.Sprintf("image%d-%d", i*i%5, i)), 100*time.Millisecond, maxPerWorker
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
		t.Fatalf("%d workers got tasks, want most of them in use by %d tasks", placed, tasks)
	}
	return mixed
}

// imageOf returns the image of a job, which begins its ID.
func imageOf(job string) string { return job[:len("image0")] }
