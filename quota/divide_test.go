package quota

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fireflygate/fireflygate/infra"
)

func TestDivide(t *testing.T) {
	tests := []struct {
		name   string
		quota  int64
		shards []Shard
		want   []int64
	}{
		{
			"idle team spread by capacity", 90,
			[]Shard{{Capacity: 100}, {Capacity: 200}},
			[]int64{30, 60},
		},
		{
			"demand before spare capacity", 90,
			[]Shard{{Capacity: 100, Demand: 100}, {Capacity: 100}},
			[]int64{90, 0},
		},
		{
			"unmet demand is shared equally", 90,
			[]Shard{{Capacity: 100, Demand: 100}, {Capacity: 100, Demand: 10}, {Capacity: 100, Demand: 100}},
			[]int64{40, 10, 40},
		},
		{
			"amounts held by others are not reassigned", 100,
			[]Shard{{Capacity: 100, Held: 100}, {Capacity: 100, Demand: 100}},
			[]int64{50, 0},
		},
		{
			"amounts in use are kept", 100,
			[]Shard{{Capacity: 100, Used: 60, Held: 60}, {Capacity: 100, Demand: 100}},
			[]int64{60, 40},
		},
		{
			"small changes are ignored", 6400,
			[]Shard{{Capacity: 6400, Used: 3000, Held: 3080}, {Capacity: 6400, Used: 3000, Demand: 400, Held: 3320}},
			[]int64{3080, 3320},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Divide(tt.quota, tt.shards); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// ownerModel simulates a shard's owner, which may report and apply results late
// or not at all.
type ownerModel struct {
	bound  VersionedBound
	used   int64
	demand int64
}

func (o *ownerModel) step(rng *rand.Rand) {
	o.demand = rng.Int64N(2000)
	if rng.IntN(3) == 0 {
		o.used -= rng.Int64N(o.used + 1)
	}
	if free := o.bound.Held() - o.used; free > 0 {
		o.used += min(o.demand, free)
	}
}

// snapshotResult is the result of a snapshot; owners may receive it at any time.
type snapshotResult struct {
	number uint64
	bounds []int64
}

// TestSumNeverExceedsQuota checks the sum of the bounds held while owners miss
// snapshots, report late and apply old results.
func TestSumNeverExceedsQuota(t *testing.T) {
	const quota = 5000
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		owners := make([]ownerModel, 2+rng.IntN(8))
		latest := make([]Shard, len(owners))
		var results []snapshotResult
		for number := uint64(1); number <= 100; number++ {
			for i := range owners {
				if rng.IntN(4) == 0 {
					// Without a report, it may hold the bound of the
					// last snapshot.
					if len(results) > 0 {
						latest[i].Held = max(latest[i].Held, results[len(results)-1].bounds[i])
					}
					continue
				}
				o := &owners[i]
				latest[i] = Shard{Capacity: 3000, Used: o.used, Demand: o.demand, Held: o.bound.Report(number)}
			}
			results = append(results, snapshotResult{number, Divide(quota, latest)})
			for range 2 * len(owners) {
				i := rng.IntN(len(owners))
				r := results[len(results)-1-rng.IntN(min(3, len(results)))]
				owners[i].bound.Apply(r.number, r.bounds[i])
				owners[i].step(rng)
				requireWithinQuota(t, seed, quota, owners)
			}
		}
	}
}

func requireWithinQuota(t *testing.T, seed uint64, quota int64, owners []ownerModel) {
	t.Helper()
	held := int64(0)
	for i := range owners {
		held += owners[i].bound.Held()
	}
	if held > quota {
		t.Fatalf("seed %d: bounds add up to %d, quota is %d", seed, held, quota)
	}
}

// TestBoundsFollowDemand checks that a quota moves to the shard with demand
// within a few snapshots.
func TestBoundsFollowDemand(t *testing.T) {
	shards := []Shard{{Capacity: 1000, Held: 500}, {Capacity: 1000, Held: 500, Demand: 1000}}
	snapshots := 0
	for shards[1].Held < 900 {
		for i, bound := range Divide(1000, shards) {
			shards[i].Held = bound
		}
		if snapshots++; snapshots > 8 {
			t.Fatalf("after %d snapshots the shard with demand holds %d, want 900", snapshots, shards[1].Held)
		}
	}
}

// TestIdleShardsDoNotHoldTheQuota checks that one shard with demand gets the
// quota held by many idle ones.
func TestIdleShardsDoNotHoldTheQuota(t *testing.T) {
	const quota, shardCount = 60_000, 600
	shards := make([]Shard, shardCount)
	for i := range shards {
		shards[i] = Shard{Capacity: quota, Held: quota / shardCount}
	}
	shards[0].Demand = quota
	for range 8 {
		for i, bound := range Divide(quota, shards) {
			shards[i].Held = bound
		}
	}
	if shards[0].Held < quota*9/10 {
		t.Errorf("after 8 snapshots the shard with demand holds %d, want 9/10 of %d", shards[0].Held, quota)
	}
}

func TestAmountAllows(t *testing.T) {
	used := infra.Resources{MilliCPU: 800, MemoryMB: 100}
	more := infra.Resources{MilliCPU: 200, MemoryMB: 100}
	tests := []struct {
		amount Amount
		want   bool
	}{
		{NewAmount(0, 0), true},
		{NewAmount(1000, 200), true},
		{NewAmount(999, 0), false},
		{NewAmount(0, 199), false},
		{Amount{MilliCPU: 0, MemoryMB: Unlimited}, false},
	}
	for _, tt := range tests {
		if got := tt.amount.Allows(used, more); got != tt.want {
			t.Errorf("%+v.Allows = %v, want the opposite", tt.amount, got)
		}
	}
}
