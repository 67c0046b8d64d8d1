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
			"demand before spare", 90,
			[]Shard{{Capacity: 100, Demand: 100}, {Capacity: 100}},
			[]int64{90, 0},
		},
		{
			"scarce demand is met alike", 90,
			[]Shard{{Capacity: 100, Demand: 100}, {Capacity: 100, Demand: 10}, {Capacity: 100, Demand: 100}},
			[]int64{40, 10, 40},
		},
		{
			"what others hold is not given away", 100,
			[]Shard{{Capacity: 100, Held: 100}, {Capacity: 100, Demand: 100}},
			[]int64{50, 0},
		},
		{
			"what is used is not taken", 100,
			[]Shard{{Capacity: 100, Used: 60, Held: 60}, {Capacity: 100, Demand: 100}},
			[]int64{60, 40},
		},
		{
			"small moves are left alone", 6400,
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

// owner is a shard's owner in the test below: it reports and applies late, or
// not at all.
type owner struct {
	holder VersionedBound
	used   int64
	demand int64
}

func (o *owner) work(rng *rand.Rand) {
	o.demand = rng.Int64N(2000)
	if rng.IntN(3) == 0 {
		o.used -= rng.Int64N(o.used + 1)
	}
	if room := o.holder.Held() - o.used; room > 0 {
		o.used += min(o.demand, room)
	}
}

// result is a snapshot's outcome, which each owner may learn of at any time.
type result struct {
	number uint64
	bounds []int64
}

// TestSumNeverExceedsQuota lets owners miss snapshots, report late and apply
// old results, and checks after each step what all hold together.
func TestSumNeverExceedsQuota(t *testing.T) {
	const quota = 5000
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		owners := make([]owner, 2+rng.IntN(8))
		latest := make([]Shard, len(owners))
		var results []result
		for number := uint64(1); number <= 100; number++ {
			for i := range owners {
				if rng.IntN(4) == 0 {
					// Its report is missing: it may hold what the
					// last snapshot gave it.
					if len(results) > 0 {
						latest[i].Held = max(latest[i].Held, results[len(results)-1].bounds[i])
					}
					continue
				}
				o := &owners[i]
				latest[i] = Shard{Capacity: 3000, Used: o.used, Demand: o.demand, Held: o.holder.Report(number)}
			}
			results = append(results, result{number, Divide(quota, latest)})
			for range 2 * len(owners) {
				i := rng.IntN(len(owners))
				r := results[len(results)-1-rng.IntN(min(3, len(results)))]
				owners[i].holder.Apply(r.number, r.bounds[i])
				owners[i].work(rng)
				requireWithinQuota(t, seed, quota, owners)
			}
		}
	}
}

func requireWithinQuota(t *testing.T, seed uint64, quota int64, owners []owner) {
	t.Helper()
	held := int64(0)
	for i := range owners {
		held += owners[i].holder.Held()
	}
	if held > quota {
		t.Fatalf("seed %d: %d held of a quota of %d", seed, held, quota)
	}
}

// TestBoundsFollowDemand checks that a quota reaches the shard that needs it
// within a few snapshots, and then rests.
func TestBoundsFollowDemand(t *testing.T) {
	shards := []Shard{{Capacity: 1000, Held: 500}, {Capacity: 1000, Held: 500, Demand: 1000}}
	snapshots := 0
	for shards[1].Held < 900 {
		for i, bound := range Divide(1000, shards) {
			shards[i].Held = bound
		}
		if snapshots++; snapshots > 8 {
			t.Fatalf("after %d snapshots only %d", snapshots, shards[1].Held)
		}
	}
}

// TestIdleShardsDoNotHoldTheQuota has one of many shards need all of a quota
// that lies spread over them.
func TestIdleShardsDoNotHoldTheQuota(t *testing.T) {
	const quota, many = 60_000, 600
	shards := make([]Shard, many)
	for i := range shards {
		shards[i] = Shard{Capacity: quota, Held: quota / many}
	}
	shards[0].Demand = quota
	for range 8 {
		for i, bound := range Divide(quota, shards) {
			shards[i].Held = bound
		}
	}
	if shards[0].Held < quota*9/10 {
		t.Errorf("after 8 snapshots %d of %d", shards[0].Held, quota)
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
			t.Errorf("%+v allows: %v", tt.amount, got)
		}
	}
}
