package batch

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
	"github.com/fireflygate/fireflygate/task"
)

// realSizes are the actual sizes of jobs by class, as multiples of their declared
// size.
var realSizes = map[string]float64{"fat": 4, "wide": 2.5, "slim": 0.5, "thin": 0.67}

// useRealPlanner makes the rig use the real planner and stand-in workers, and
// returns the recorder of the workers' history.
func (r *rig) useRealPlanner(ctx context.Context, done *sync.WaitGroup) *check.Recorder {
	recorder := check.NewRecorder(nil)
	workers := standin.NewWorkers()
	r.standIns = map[string]*standin.Worker{}
	for _, m := range r.members {
		w := standin.NewWorker(standin.WorkerConfig{
			Name: m.Name, Capacity: m.Capacity, Lag: time.Second,
			Behaviour: standin.Behaviour{Size: realSizes, Work: map[string]float64{"slow": 3}}, Recorder: recorder,
		}, time.Now())
		workers.Add(m.Address, w)
		r.standIns[m.Address] = w
		done.Go(func() { w.Drive(ctx, 100*time.Millisecond) })
	}
	r.workerClient = workers
	r.newPlanner = func() placement.Planner {
		return placement.New(placement.Options{Seed: 1, Colocation: settings.Default().Colocation})
	}
	return recorder
}

// runWithRealPlanner runs f with a host that owns the shard, the real planner and
// stand-in workers, and returns the recorder of the workers' history.
func (r *rig) runWithRealPlanner(f func(n *node)) *check.Recorder {
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	recorder := r.useRealPlanner(ctx, &done)
	n := r.node("a")
	r.own(n)
	r.advanceTime(2 * time.Second)
	f(n)
	stop()
	done.Wait()
	return recorder
}

// capacityViolations returns the violations in the workers' history of what a worker
// holds and of where a job runs.
func capacityViolations(recorder *check.Recorder) []check.Violation {
	return slices.DeleteFunc(check.Run(recorder.Records()).Violations, func(v check.Violation) bool {
		return v.Promise != check.CapacityLimit && v.Promise != check.SinglePlacement
	})
}

// TestReservationsAgreeWithWorkers runs jobs of all sizes while the shard changes its
// owner twice, once without a notification to the old one.
func TestReservationsAgreeWithWorkers(t *testing.T) {
	bubble(t, 4, func(r *rig) {
		recorder := r.runWithRealPlanner(func(n *node) {
			var ids []string
			for wave := range 6 {
				for _, class := range slices.Sorted(maps.Keys(realSizes)) {
					for i := range 6 {
						s := spec(fmt.Sprint(class, wave, "-", i), time.Duration(5+3*i)*time.Second)
						s.Class, s.Resources.MemoryMB, s.Urgent = class, 400, i == 0
						r.submit(n, s)
						ids = append(ids, s.ID)
					}
				}
				r.advanceTime(15 * time.Second)
				if wave == 2 || wave == 4 {
					old := n
					n = r.node(fmt.Sprint("b", wave))
					r.own(n)
					if wave == 2 {
						old.kill()
					}
				}
			}
			r.advanceTime(20 * time.Minute)
			for _, id := range ids {
				r.expectState(n, id, task.Done)
			}
		})
		if violations := capacityViolations(recorder); len(violations) > 0 {
			t.Errorf("%d violations, the first: %s", len(violations), violations[0].Detail)
		}
	})
}

func TestPolicyReachesRunningPlanners(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		r.runWithRealPlanner(func(n *node) {
			b := settings.Default().Batch
			b.Exchange *= 2
			n.SetPolicy(b, placement.Options{Teams: map[string]settings.Team{"team": {MilliCPU: 2000}}})
			for i := range 6 {
				r.submit(n, spec(fmt.Sprint("j", i), time.Hour))
			}
			r.advanceTime(10 * time.Second)
			if c := n.Counts(); c.Running != 2 || c.Pending != 4 {
				t.Errorf("counts %+v with a quota of two cores, want 2 running and 4 pending", c)
			}
			n.SetPolicy(b, placement.Options{Teams: map[string]settings.Team{"team": {MilliCPU: 5000}}})
			r.advanceTime(10 * time.Second)
			if c := n.Counts(); c.Running != 5 {
				t.Errorf("counts %+v with a quota of five cores, want 5 running", c)
			}
			if got := n.shards[shard].limits.Exchange; got != b.Exchange {
				t.Errorf("exchange interval %v, want %v", got.D(), b.Exchange.D())
			}
		})
	})
}
