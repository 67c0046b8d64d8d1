package journal

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
)

const (
	faultSeeds   = 20
	faultEntries = 300
)

// written reports whether a row holds what the entry wrote.
func (r *rig) written(key string) bool {
	rows, err := r.table.Get(context.Background(), key)
	return err == nil && rows[0].Version != 0
}

// check expects each result to agree with the table.
func (r *rig) check(t *testing.T) {
	t.Helper()
	for i := range faultEntries {
		name := fmt.Sprint(i)
		res, ok := r.results[name]
		switch {
		case !ok:
			t.Errorf("entry %s has no result", name)
		case r.written(name) != (res.Status == infra.CommitApplied):
			t.Errorf("entry %s: status %v, but written: %v", name, res.Status, r.written(name))
		}
	}
}

// TestResultsAgreeWithTheTable has faults come in any order; what callers are
// told must be what the table holds, also after late arrivals.
func TestResultsAgreeWithTheTable(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		run(t, func(r *rig) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			for i := range faultEntries {
				r.mishap(rnd)
				e := Entry{
					Writes: []infra.Write{{Key: fmt.Sprint(i)}}, Urgent: rnd.IntN(3) == 0,
					Done: func(res infra.CommitResult) { r.note(fmt.Sprint(i), res) },
				}
				if rnd.IntN(4) == 0 {
					e.Conditions = []infra.Condition{{Key: "shard", Version: uint64(rnd.IntN(2))}}
				}
				if rnd.IntN(3) == 0 {
					e.Deadline = time.Now().Add(time.Duration(rnd.IntN(2000)) * time.Millisecond)
				}
				r.Append(e)
				after(time.Duration(rnd.IntN(100)) * time.Millisecond)
			}
			r.table.Set(func(f *memtable.Faults) { *f = memtable.Faults{} })
			after(time.Minute)
			r.table.DeliverHeld()
			r.check(t)
		})
	}
}

// mishap brings about one fault, or ends one.
func (r *rig) mishap(rnd *rand.Rand) {
	switch rnd.IntN(12) {
	case 0:
		r.table.Set(func(f *memtable.Faults) { f.LoseAnswers = 1 })
	case 1:
		r.table.Set(func(f *memtable.Faults) { f.HoldCommits = 1 })
	case 2:
		r.table.DeliverHeld()
	case 3:
		r.table.Set(func(f *memtable.Faults) { f.Down = !f.Down })
	case 4:
		r.table.Set(func(f *memtable.Faults) { f.Delay = time.Duration(rnd.IntN(200)) * time.Millisecond })
	}
}
