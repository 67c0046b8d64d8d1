package batch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/quota"
	"github.com/fireflygate/fireflygate/settings"
)

const (
	quotaShards = 6
	// quotaCores is the team's quota; each shard alone could hold it.
	quotaCores = 12
)

// quotaRig is a rig with several shards, of one zone each.
type quotaRig struct {
	*rig
	owners  map[string]*node
	epochs  uint64
	nodes   []*node
	members map[string][]infra.Member
	jobs    int
}

func quotaShard(i int) string { return fmt.Sprintf("wk/z%d/0", i) }

// quotas runs f with hosts that divide a quota over shards, and returns the
// most that the team's runs reserved at any time, in cores.
func quotas(t *testing.T, f faults, run func(q *quotaRig)) (most int64) {
	bubble(t, 2*quotaShards, func(r *rig) {
		r.faults = f
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		for i := range r.members {
			r.members[i].Zone = fmt.Sprint("z", i/2)
			r.members[i].Capacity = infra.Resources{MilliCPU: 8000, MemoryMB: 80_000}
		}
		q := &quotaRig{rig: r, owners: map[string]*node{}, members: map[string][]infra.Member{}}
		for i, m := range r.members {
			q.members[quotaShard(i/2)] = append(q.members[quotaShard(i/2)], m)
		}
		recorder := r.real(ctx, &done)
		for i := range 3 {
			q.start(fmt.Sprint("h", i))
		}
		for i := range quotaShards {
			q.give(quotaShard(i), q.nodes[i%3])
		}
		q.tellAll(nil)
		r.settle(5 * time.Second)
		run(q)
		stop()
		done.Wait()
		most = mostReserved(recorder.Records())
	})
	return most
}

// start starts a host with the quota in force.
func (q *quotaRig) start(name string) *node {
	n := q.node(name)
	n.SetWorkers(q.members)
	n.SetPolicy(settings.Default().Batch, placement.Options{Teams: map[string]settings.Team{"team": {MilliCPU: quotaCores * 1000}}})
	q.nodes = append(q.nodes, n)
	return n
}

// give has a host own a shard; views follow with tellAll.
func (q *quotaRig) give(shard string, n *node) {
	q.owners[shard] = n
	q.table.Put(shardKey(shard), []byte(n.config.Host))
}

// tellAll gives all hosts but one their view.
func (q *quotaRig) tellAll(but *node) {
	q.epochs++
	for _, n := range q.nodes {
		if n == but {
			continue
		}
		v := &ownership.Snapshot{Owners: map[string]string{}, Grants: map[string]ownership.Grant{}}
		for shard, owner := range q.owners {
			v.Owners[shard] = owner.config.Host
			if owner != n {
				continue
			}
			rows, _ := q.table.Get(context.Background(), shardKey(shard))
			if len(rows) == 0 || rows[0].Version == 0 {
				continue
			}
			v.Grants[shard] = ownership.Grant{
				Shard: shard, Epoch: rows[0].Version, Version: rows[0].Version,
				Share: ownership.Full, Until: time.Now().Add(time.Hour),
			}
		}
		n.SetOwnership(v)
	}
	q.settle(0)
}

// work has jobs submitted in a shard's zone.
func (q *quotaRig) work(shard, count, cores int, run time.Duration) {
	for range count {
		s := spec(fmt.Sprint("j", q.jobs), run)
		s.Resources.MilliCPU = int64(cores) * 1000
		s.Zones = []string{fmt.Sprint("z", shard)}
		q.jobs++
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, _, _ = q.owners[quotaShard(shard)].Submit(ctx, s)
		cancel()
	}
}

// disturb brings about one fault or mends one.
func (q *quotaRig) disturb(rnd *rand.Rand, step int) {
	shard := quotaShard(rnd.IntN(quotaShards))
	switch rnd.IntN(8) {
	case 0:
		q.cut(q.nodes[rnd.IntN(len(q.nodes))].config.Host, rnd.IntN(2) == 0)
	case 1:
		q.table.Set(func(f *memtable.Faults) { f.Down = !f.Down })
	case 2:
		q.table.Set(func(f *memtable.Faults) { f.LoseAnswers = 1 + rnd.IntN(2) })
	case 3: // an owner dies, and others take its shards
		i := rnd.IntN(len(q.nodes))
		dead := q.nodes[i]
		dead.kill()
		q.nodes = append(q.nodes[:i:i], q.nodes[i+1:]...)
		q.start(fmt.Sprint("s", step))
		for name, owner := range q.owners {
			if owner == dead {
				q.give(name, q.nodes[rnd.IntN(len(q.nodes))])
			}
		}
		q.tellAll(nil)
	case 4, 5: // a shard moves while its old owner is not told
		old := q.owners[shard]
		q.give(shard, q.nodes[rnd.IntN(len(q.nodes))])
		q.tellAll(old)
	default:
		q.tellAll(nil)
	}
}

// mostReserved is the most that all runs together reserved, in cores.
func mostReserved(records []check.Record) int64 {
	var held, most int64
	runs := map[infra.RunID]int64{}
	for _, r := range records {
		switch {
		case r.RunBegan != nil:
			runs[r.RunBegan.Run] = r.RunBegan.Resources.MilliCPU / 1000
			held += runs[r.RunBegan.Run]
			most = max(most, held)
		case r.RunEnded != nil:
			held -= runs[r.RunEnded.Run]
			delete(runs, r.RunEnded.Run)
		}
	}
	return most
}

// faultyQuotas has faults of all kinds while demand moves between shards.
func faultyQuotas(t *testing.T, seed uint64, f faults) int64 {
	rnd := rand.New(rand.NewPCG(seed, 0))
	return quotas(t, f, func(q *quotaRig) {
		for step := range 25 {
			q.disturb(rnd, step)
			q.work(rnd.IntN(quotaShards), 1+rnd.IntN(4), 2, time.Duration(5+rnd.IntN(20))*time.Second)
			q.settle(time.Duration(rnd.IntN(4000)) * time.Millisecond)
		}
		q.table.Set(func(f *memtable.Faults) { *f = memtable.Faults{} })
		q.cut("", false)
		q.tellAll(nil)
		q.settle(time.Minute)
	})
}

func TestTeamStaysWithinItsQuotaOverShards(t *testing.T) {
	const seeds = 10
	busy, broken := 0, 0
	for seed := range uint64(seeds) {
		most := faultyQuotas(t, seed, faults{})
		if most > quotaCores {
			t.Errorf("seed %d: %d cores reserved of a quota of %d", seed, most, quotaCores)
		}
		if most > quotaCores/2 {
			busy++
		}
		if broken == 0 && faultyQuotas(t, seed, faults{wholeQuota: true}) > quotaCores {
			broken++
		}
	}
	t.Logf("%d of %d seeds used more than half of the quota", busy, seeds)
	if busy == 0 || broken == 0 {
		t.Error("the quota was never pressed: the check proves nothing")
	}
}

// heldTable keeps back one division.
type heldTable struct {
	infra.Table
	keeps   func(infra.Transaction) bool
	reached chan struct{}
	release chan struct{}
}

func (h *heldTable) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if h.keeps(tx) {
		close(h.reached)
		<-h.release
		ctx = context.WithoutCancel(ctx)
	}
	return h.Table.Commit(ctx, tx)
}

// overtaken has a shard change its owner between its report and the division
// that lowers its bound, with work for the new owner.
func overtaken(t *testing.T, f faults) int64 {
	return quotas(t, f, func(q *quotaRig) {
		held := &heldTable{reached: make(chan struct{}), release: make(chan struct{})}
		q.wrap = func(table infra.Table) infra.Table { held.Table = table; return held }
		armed := false
		held.keeps = func(tx infra.Transaction) bool {
			for _, w := range tx.Writes {
				var d quota.Division
				if !armed || w.Key != quotaKey("team") || msgpack.Unmarshal(w.Value, &d) != nil {
					continue
				}
				armed = false
				return true
			}
			return false
		}
		// One host owns and divides everything, but what is taken from it.
		n := q.start(divider(q.nodes[0].config.Host))
		for i := range quotaShards {
			q.give(quotaShard(i), n)
		}
		q.tellAll(nil)
		q.settle(5 * time.Second)
		armed = true
		q.work(0, 20, 1, time.Minute)
		select {
		case <-held.reached:
		case <-time.After(time.Minute):
			t.Error("no division followed the demand")
			return
		}
		for i := 1; i < quotaShards; i++ {
			q.give(quotaShard(i), q.nodes[0])
		}
		q.tellAll(n)
		q.settle(3 * time.Second)
		for i := 1; i < quotaShards; i++ {
			q.work(i, 4, 1, time.Minute)
		}
		q.settle(5 * time.Second)
		close(held.release)
		q.settle(30 * time.Second)
	})
}

// divider returns the name of a host that the team falls to beside another.
func divider(other string) string {
	for i := 0; ; i++ {
		name := fmt.Sprint("all", i)
		if rendezvous.New([]string{name, other}, xxhash.Sum64String).Lookup("team") == name {
			return name
		}
	}
}

func TestDivisionIsBoundToItsOwners(t *testing.T) {
	if most := overtaken(t, faults{}); most > quotaCores {
		t.Errorf("%d cores reserved of a quota of %d", most, quotaCores)
	}
	if most := overtaken(t, faults{looseQuota: true}); most <= quotaCores {
		t.Errorf("without the condition on owners only %d cores of %d: the check proves nothing", most, quotaCores)
	}
}

// TestQuotaFollowsDemand has all demand in one shard, then in another.
func TestQuotaFollowsDemand(t *testing.T) {
	quotas(t, faults{}, func(q *quotaRig) {
		for _, shard := range []int{0, 4} {
			q.work(shard, 20, 2, 30*time.Second)
			var seen []int
			for range 12 {
				q.settle(time.Second)
				seen = append(seen, 2*q.owners[quotaShard(shard)].Counts().Running)
			}
			t.Logf("shard %d: cores in use after each second, of %d: %v (a static split gives %d)", shard, quotaCores, seen, quotaCores/quotaShards)
			if seen[len(seen)-1] != quotaCores {
				t.Errorf("shard %d: %d cores of %d in use after 12 s", shard, seen[len(seen)-1], quotaCores)
			}
			q.settle(3 * time.Minute)
		}
	})
}
