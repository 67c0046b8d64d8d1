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

// realSizes are what jobs use, as multiples of what they declare.
var realSizes = map[string]float64{"fat": 4, "wide": 2.5, "slim": 0.5, "thin": 0.67}

// real has the rig work with the real planner and stand-in workers, and
// returns what these record.
func (r *rig) real(ctx context.Context, done *sync.WaitGroup) *check.Recorder {
	recorder := check.NewRecorder(nil)
	workers := standin.NewWorkers()
	r.stands = map[string]*standin.Worker{}
	for _, m := range r.members {
		w := standin.NewWorker(standin.WorkerConfig{
			Name: m.Name, Capacity: m.Capacity, Lag: time.Second,
			Behaviour: standin.Behaviour{Size: realSizes, Work: map[string]float64{"slow": 3}}, Recorder: recorder,
		}, time.Now())
		workers.Add(m.Address, w)
		r.stands[m.Address] = w
		done.Go(func() { w.Drive(ctx, 100*time.Millisecond) })
	}
	r.reach = workers
	r.newPlanner = func() placement.Planner {
		return placement.New(placement.Options{Seed: 1, Colocation: settings.Default().Colocation})
	}
	return recorder
}

// sizedRun has jobs of all sizes run while the shard changes its owner twice,
// once without word to the old one, and returns what is wrong with it.
func sizedRun(t *testing.T, f faults) (wrong []check.Violation) {
	bubble(t, 4, func(r *rig) {
		r.faults = f
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		recorder := r.real(ctx, &done)
		n := r.node("a")
		r.own(n)
		r.settle(2 * time.Second)
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
			r.settle(15 * time.Second)
			if wave == 2 || wave == 4 {
				old := n
				n = r.node(fmt.Sprint("b", wave))
				r.own(n)
				if wave == 2 {
					old.kill()
				}
			}
		}
		r.settle(20 * time.Minute)
		for _, id := range ids {
			if f == (faults{}) {
				r.state(n, id, task.Done)
			}
		}
		stop()
		done.Wait()
		wrong = slices.DeleteFunc(check.Run(recorder.Records()).Violations, func(v check.Violation) bool {
			return v.Promise != check.CapacityHeld && v.Promise != check.OnePlace
		})
	})
	return wrong
}

func TestPolicyReachesRunningPlanners(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		r.real(ctx, &done)
		n := r.node("a")
		r.own(n)
		r.settle(2 * time.Second)
		b := settings.Default().Batch
		b.Exchange *= 2
		n.SetPolicy(b, placement.Options{Teams: map[string]settings.Team{"team": {MilliCPU: 2000}}})
		for i := range 6 {
			r.submit(n, spec(fmt.Sprint("j", i), time.Hour))
		}
		r.settle(10 * time.Second)
		if c := n.Counts(); c.Running != 2 || c.Pending != 4 {
			t.Errorf("%+v under a quota of two cores", c)
		}
		n.SetPolicy(b, placement.Options{Teams: map[string]settings.Team{"team": {MilliCPU: 5000}}})
		r.settle(10 * time.Second)
		if c := n.Counts(); c.Running != 5 {
			t.Errorf("%+v under a quota of five cores", c)
		}
		if got := n.shards[shard].limits.Exchange; got != b.Exchange {
			t.Errorf("exchanges each %v, want %v", got.D(), b.Exchange.D())
		}
		stop()
		done.Wait()
	})
}

func TestReservationsAgreeWithWorkers(t *testing.T) {
	if wrong := sizedRun(t, faults{}); len(wrong) > 0 {
		t.Errorf("%d violations, the first: %s", len(wrong), wrong[0].Detail)
	}
	if wrong := sizedRun(t, faults{adoptDeclared: true}); len(wrong) == 0 {
		t.Error("an owner that adopts runs at their declared sizes passes the check")
	}
}
