package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

var epoch = time.Unix(1_800_000_000, 0)

var wholeHost = infra.Resources{MilliCPU: 64_000, MemoryMB: 250_000}

func testHost(i int) Host {
	return Host{
		Name:     fmt.Sprintf("host-%04d", i),
		Zone:     fmt.Sprintf("zone-%d", i%4),
		Rack:     fmt.Sprintf("rack-%d", i/8),
		Capacity: wholeHost,
	}
}

func batchSpec(id string, cores, gigabytes int64) task.Spec {
	return task.Spec{
		ID: id, Team: "routes", Class: "plan", QoS: task.Batch, RunMS: 60_000,
		Resources: infra.Resources{MilliCPU: cores * 1000, MemoryMB: gigabytes * 1000},
	}
}

// requireWithinCapacity checks that the runs of each host fit its capacity and
// add up to its reservation.
func requireWithinCapacity(t testing.TB, s *Scheduler) {
	t.Helper()
	for _, n := range s.order {
		var sum infra.Resources
		for _, r := range n.runs {
			sum = sum.Add(r.size)
		}
		if sum != n.reserved {
			t.Fatalf("%s: reserved %+v, sum of runs %+v", n.host.Name, n.reserved, sum)
		}
		if !sum.Fits(n.host.Capacity) {
			t.Fatalf("%s: %+v reserved of %+v", n.host.Name, sum, n.host.Capacity)
		}
	}
}

// TestRandomCallsKeepCapacity makes random sequences of calls and checks after
// each plan that no host exceeds its capacity and no job occupies two hosts,
// and at the end that all jobs that fit are placed.
func TestRandomCallsKeepCapacity(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomCalls(t, seed) })
	}
}

func randomCalls(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	o := Options{Seed: seed, Headroom: 0.1}
	o.Colocation.MaxEvictionsPerMinute = 5
	s := New(o)
	for i := range 12 {
		s.SetHost(testHost(i))
	}
	now := epoch
	for step := range 600 {
		now = now.Add(time.Second)
		randomCall(s, rng, now, step)
		for _, a := range s.Plan(now, 1+rng.IntN(8)) {
			if a.Kind == Evict && rng.IntN(2) == 0 {
				s.Release(now, a.Job, false)
			}
		}
		requireWithinCapacity(t, s)
		requireOnePlace(t, s)
	}
	s.Plan(now, 10_000)
	requireNothingFits(t, s)
}

func randomCall(s *Scheduler, rng *rand.Rand, now time.Time, step int) {
	id := fmt.Sprintf("job-%d", rng.IntN(step+1))
	switch rng.IntN(9) {
	case 0:
		s.Release(now, id, rng.IntN(2) == 0)
	case 1:
		s.Withdraw(id)
	case 2:
		s.Avoid(id, testHost(rng.IntN(12)).Name)
	case 3:
		h := testHost(rng.IntN(12))
		if rng.IntN(3) == 0 {
			h.Unschedulable = "leaving"
		}
		s.SetHost(h)
	case 4:
		use := infra.Resources{MilliCPU: rng.Int64N(30_000), MemoryMB: rng.Int64N(90_000)}
		s.Observe(Usage{Host: testHost(rng.IntN(12)).Name, At: now, Jobs: []JobUsage{{Job: id, Used: use}}})
	default:
		spec := batchSpec(fmt.Sprintf("job-%d", step), 1+rng.Int64N(30), 1+rng.Int64N(100))
		spec.Urgent = rng.IntN(8) == 0
		if rng.IntN(4) == 0 {
			spec.QoS = task.LatencyCritical
		}
		s.Enqueue(now, spec)
	}
}

func requireOnePlace(t *testing.T, s *Scheduler) {
	t.Helper()
	seen := map[string]bool{}
	for _, n := range s.order {
		for _, r := range n.runs {
			_, waiting := s.queue.jobs[r.spec.ID]
			if seen[r.spec.ID] || waiting || s.runs[r.spec.ID] != r {
				t.Fatalf("%s occupies two hosts or is pending as well", r.spec.ID)
			}
			seen[r.spec.ID] = true
		}
	}
	if len(seen) != len(s.runs) {
		t.Fatalf("%d runs on hosts, %d in Scheduler.runs", len(seen), len(s.runs))
	}
}

// requireNothingFits checks that no pending job fits on any host.
func requireNothingFits(t *testing.T, s *Scheduler) {
	t.Helper()
	for id, j := range s.queue.jobs {
		q := s.request(s.now, j)
		if counts := s.countRejections(&q); counts[Feasible] > 0 {
			t.Fatalf("%s is pending but fits on %d hosts", id, counts[Feasible])
		}
	}
}

func TestSameInputsGiveSamePlan(t *testing.T) {
	plan := func() []Action {
		s := New(Options{Seed: 7, Headroom: 0.1})
		for i := range 200 {
			s.SetHost(testHost(i))
		}
		for i := range 300 {
			s.Enqueue(epoch, batchSpec(fmt.Sprintf("job-%d", i), 1+int64(i%9), 1+int64(i%31)))
		}
		return s.Plan(epoch, 1000)
	}
	first := plan()
	if len(first) != 300 {
		t.Fatalf("%d of 300 jobs placed", len(first))
	}
	for range 3 {
		if !slices.Equal(first, plan()) {
			t.Fatal("plans of the same calls differ")
		}
	}
}

// TestExactSearchFindsTheOnlyHost checks that the only host that fits is found
// among many in the same index cell, beyond the sample.
func TestExactSearchFindsTheOnlyHost(t *testing.T) {
	for seed := range uint64(10) {
		s := New(Options{Seed: seed})
		for i := range 800 {
			h := testHost(i)
			h.Zone, h.Capacity.MilliCPU = "zone-0", 33_000
			if i == 400 {
				h.Capacity.MilliCPU = 35_000
			}
			s.SetHost(h)
		}
		s.Enqueue(epoch, batchSpec("job", 34, 1))
		actions := s.Plan(epoch, 1)
		if len(actions) != 1 || actions[0].Host != testHost(400).Name {
			t.Fatalf("seed %d: planned %v", seed, actions)
		}
	}
}
