package batch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/task"
)

const (
	soakSeeds   = 12
	soakSteps   = 60
	soakJobs    = 20
	soakWorkers = 4
)

// TestRandomFaults injects random, overlapping and repeated faults and then
// clears them. Each accepted job must end, and none may run in two places.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(soakSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble(t, soakWorkers, func(r *rig) { runSoak(r, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func runSoak(r *rig, rnd *rand.Rand) {
	n := r.node("a0")
	r.own(n)
	r.advanceTime(2 * time.Second)
	accepted := map[string]bool{}
	cancelled := map[string]bool{}
	for step := range soakSteps {
		n = injectSoakFault(r, rnd, n, step)
		id := fmt.Sprint("j", rnd.IntN(soakJobs))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		switch {
		case !accepted[id]:
			s := spec(id, time.Duration(1+rnd.IntN(20))*time.Second)
			s.Urgent = rnd.IntN(3) == 0
			_, kind, _ := n.Submit(ctx, s)
			accepted[id] = kind == outcome.Answered
		case rnd.IntN(8) == 0:
			_, kind, _ := n.Cancel(ctx, id)
			cancelled[id] = cancelled[id] || kind != outcome.NotRun
		default:
			n.evict(id)
		}
		cancel()
		r.advanceTime(time.Duration(rnd.IntN(3000)) * time.Millisecond)
	}
	clearFaults(r)
	r.advanceTime(5 * time.Minute)
	for id, ok := range accepted {
		if !ok {
			continue
		}
		s, _, reason := n.Show(context.Background(), id)
		if s.State != task.Done && (!cancelled[id] || s.State != task.Cancelled) {
			r.t.Errorf("%s is %v %s at the end, want done (%+v)", id, s.State, reason, s.Record)
		}
	}
	for id := range accepted {
		runCount := 0
		for _, run := range r.workers.runsOf(id) {
			if run.to.IsZero() {
				r.t.Errorf("%s: a run has not ended", id)
			}
			runCount++
		}
		if s, _, _ := n.Show(context.Background(), id); s.Record.Epoch < uint64(runCount) {
			r.t.Errorf("%s: %d runs in %d epochs", id, runCount, s.Record.Epoch)
		}
	}
}

// injectSoakFault causes at most one random fault and returns the shard's owner
// after it.
func injectSoakFault(r *rig, rnd *rand.Rand, n *node, step int) *node {
	moved := rnd.IntN(soakWorkers)
	worker := r.members[moved].Address
	switch rnd.IntN(13) {
	case 0:
		r.workers.set(worker, func(w *fakeWorker) { w.cut = !w.cut })
	case 1:
		r.workers.set(worker, func(w *fakeWorker) { w.loseReplies = rnd.IntN(4) })
	case 2:
		r.workers.set(worker, func(w *fakeWorker) { w.loseCheckpoints = !w.loseCheckpoints })
	case 3:
		r.table.Set(func(f *memtable.Faults) { f.LoseAnswers = 1 + rnd.IntN(3) })
	case 4:
		r.table.Set(func(f *memtable.Faults) { f.Down = !f.Down })
	case 5:
		r.table.Set(func(f *memtable.Faults) { f.Delay = time.Duration(rnd.IntN(300)) * time.Millisecond })
	case 6:
		n.kill()
		n = r.node(fmt.Sprint("a", step+1))
		r.own(n)
	case 7: // a new owner, of which the old one is not notified
		old := n
		n = r.node(fmt.Sprint("a", step+1))
		r.own(n)
		r.advanceTime(time.Duration(rnd.IntN(3000)) * time.Millisecond)
		old.kill()
	case 8:
		r.workers.restart(worker)
	case 9:
		r.moveWorker(n, moved)
	case 10:
		r.workers.set(worker, func(w *fakeWorker) { w.newestFirst = !w.newestFirst })
	}
	return n
}

// clearFaults clears all faults.
func clearFaults(r *rig) {
	r.table.Set(func(f *memtable.Faults) { *f = memtable.Faults{} })
	for address := range r.workers.hosts {
		r.workers.set(address, func(w *fakeWorker) { w.cut, w.loseReplies, w.loseCheckpoints, w.newestFirst = false, 0, false, false })
	}
}
