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

// written reports whether the row exists.
func (r *testJournal) written(key string) bool {
	rows, err := r.table.Get(context.Background(), key)
	return err == nil && rows[0].Version != 0
}

// check verifies that the result of each entry agrees with the table.
func (r *testJournal) check(t *testing.T) {
	t.Helper()
	for i := range faultEntries {
		name := fmt.Sprint(i)
		res, ok := r.results[name]
		switch {
		case !ok:
			t.Errorf("entry %s: no result", name)
		case r.written(name) != (res.Status == infra.CommitApplied):
			t.Errorf("entry %s: status %v, row written: %v", name, res.Status, r.written(name))
		}
	}
}

// TestResultsAgreeWithTheTable injects random faults and checks that each reported
// result matches the table, also after delayed commits arrive.
func TestResultsAgreeWithTheTable(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		withJournal(t, func(r *testJournal) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			for i := range faultEntries {
				r.injectFault(rnd)
				e := Entry{
					Writes: []infra.Write{{Key: fmt.Sprint(i)}}, Urgent: rnd.IntN(3) == 0,
					Done: func(res infra.CommitResult) { r.record(fmt.Sprint(i), res) },
				}
				if rnd.IntN(4) == 0 {
					e.Conditions = []infra.Condition{{Key: "shard", Version: uint64(rnd.IntN(2))}}
				}
				if rnd.IntN(3) == 0 {
					e.Deadline = time.Now().Add(time.Duration(rnd.IntN(2000)) * time.Millisecond)
				}
				r.Append(e)
				sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
			}
			r.table.Set(func(f *memtable.Faults) { *f = memtable.Faults{} })
			sleep(time.Minute)
			r.table.DeliverHeld()
			r.check(t)
		})
	}
}

// injectFault starts or ends a random fault, or changes nothing.
func (r *testJournal) injectFault(rnd *rand.Rand) {
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
