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

// TestManyFaults has faults come in any order, together and twice, then lets
// everything mend: each job held must end once, and none ran in two places.
func TestManyFaults(t *testing.T) {
	for seed := range uint64(soakSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble(t, soakWorkers, func(r *rig) { soak(r, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func soak(r *rig, rnd *rand.Rand) {
	n := r.node("a0")
	r.own(n)
	r.settle(2 * time.Second)
	held := map[string]bool{}
	cancelled := map[string]bool{}
	for step := range soakSteps {
		n = soakFault(r, rnd, n, step)
		id := fmt.Sprint("j", rnd.IntN(soakJobs))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		switch {
		case !held[id]:
			s := spec(id, time.Duration(1+rnd.IntN(20))*time.Second)
			s.Urgent = rnd.IntN(3) == 0
			_, kind, _ := n.Submit(ctx, s)
			held[id] = kind == outcome.Answered
		case rnd.IntN(8) == 0:
			_, kind, _ := n.Cancel(ctx, id)
			cancelled[id] = cancelled[id] || kind != outcome.NotRun
		default:
			n.evict(id)
		}
		cancel()
		r.settle(time.Duration(rnd.IntN(3000)) * time.Millisecond)
	}
	mend(r)
	r.settle(5 * time.Minute)
	for id, ok := range held {
		if !ok {
			continue
		}
		s, _, reason := n.Show(context.Background(), id)
		if s.State != task.Done && (!cancelled[id] || s.State != task.Cancelled) {
			r.t.Errorf("%s is %v %s in the end (%+v)", id, s.State, reason, s.Record)
		}
	}
	for id := range held {
		done := 0
		for _, run := range r.workers.runsOf(id) {
			if run.to.IsZero() {
				r.t.Errorf("%s: a run goes on", id)
			}
			done++
		}
		if s, _, _ := n.Show(context.Background(), id); s.Record.Epoch < uint64(done) {
			r.t.Errorf("%s: %d runs under %d epochs", id, done, s.Record.Epoch)
		}
	}
}

// soakFault brings about one fault and returns the owner after it.
func soakFault(r *rig, rnd *rand.Rand, n *node, step int) *node {
	worker := fmt.Sprint("w", rnd.IntN(soakWorkers))
	switch rnd.IntN(9) {
	case 0:
		r.workers.set(worker, func(w *fakeWorker) { w.cut = !w.cut })
	case 1:
		r.workers.set(worker, func(w *fakeWorker) { w.loseReplies = rnd.IntN(4) })
	case 2:
		r.workers.set(worker, func(w *fakeWorker) { w.noSave = !w.noSave })
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
	case 7: // the old owner is not told
		old := n
		n = r.node(fmt.Sprint("a", step+1))
		r.own(n)
		r.settle(time.Duration(rnd.IntN(3000)) * time.Millisecond)
		old.kill()
	}
	return n
}

// mend ends all faults.
func mend(r *rig) {
	r.table.Set(func(f *memtable.Faults) { *f = memtable.Faults{} })
	for i := range soakWorkers {
		r.workers.set(fmt.Sprint("w", i), func(w *fakeWorker) { w.cut, w.loseReplies, w.noSave = false, 0, false })
	}
}
