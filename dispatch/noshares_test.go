package dispatch_test

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/workload"
)

// TestNoSharesNoChange guards against orders that change because a pool without
// guaranteed shares is planned by way of them: with a share in another pool, and with the
// mechanism disabled, each start and stop must be the same, under faults and in a burst.
func TestNoSharesNoChange(t *testing.T) {
	elsewhere := workload.Queue{Name: "elsewhere", Pool: "another", GuaranteedShare: 0.9}
	variants := map[string]func(r *rig){
		"a share in another pool": func(r *rig) { r.queues = []workload.Queue{queueShort, queueLong, elsewhere} },
		"disabled":                func(r *rig) { r.disabled = mechanism.Of(mechanism.Shares) },
	}
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			want := ordersOf(t, seed, func(*rig) {})
			preempted := slices.ContainsFunc(want, func(o string) bool { return o[max(len(o)-9, 0):] == "preempted" })
			if !preempted {
				t.Error("nothing was preempted, so that victims aren't compared")
			}
			h := fnv.New64a()
			fmt.Fprint(h, want)
			t.Logf("%d orders, sum %x", len(want), h.Sum64())
			for name, change := range variants {
				if got := ordersOf(t, seed, change); !slices.Equal(got, want) {
					t.Errorf("%s: %d orders differ from the %d without", name, len(got), len(want))
				}
			}
		})
	}
}

// ordersOf returns the orders of a seed under random faults and in a burst, with a changed
// rig.
func ordersOf(t *testing.T, seed uint64, change func(*rig)) []string {
	t.Helper()
	s := newFaultSim(t, seed)
	s.planned = s.recordOrders
	change(s.rig)
	s.replaceOwner()
	s.submitUnderFaults(s.run)
	b := newBurst(t, seed, 0)
	b.planned = b.recordOrders
	change(b.rig)
	b.replaceOwner()
	for i := range 10 {
		b.submitBestEffort(fmt.Sprint("batch", i))
		b.submit(queueShort, fmt.Sprint("short", i), step(3, 9))
		b.submit(queueLong, fmt.Sprint("long", i), step(4, 7))
		b.run(time.Second)
	}
	return slices.Concat(s.orders, b.orders)
}
