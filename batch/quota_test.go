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
	// quotaCores is the team's quota. Each shard has the capacity for all of it.
	quotaCores = 12
)

// quotaRig is a rig with several shards, each in its own zone.
type quotaRig struct {
	*rig
	owners  map[string]*node
	epochs  uint64
	nodes   []*node
	members map[string][]infra.Member
	jobs    int
}

func quotaShard(i int) string { return fmt.Sprintf("wk/z%d/0", i) }

// runQuotaRig calls run with three hosts that divide a quota among shards, and
// returns the peak of the team's reservations in cores.
func runQuotaRig(t *testing.T, f faults, run func(q *quotaRig)) (peak int64) {
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
		recorder := r.useRealPlanner(ctx, &done)
		for i := range 3 {
			q.start(fmt.Sprint("h", i))
		}
		for i := range quotaShards {
			q.assign(quotaShard(i), q.nodes[i%3])
		}
		q.publishOwnership(nil)
		r.advanceTime(5 * time.Second)
		run(q)
		stop()
		done.Wait()
		peak = peakReserved(recorder.Records())
	})
	return peak
}

// start starts a host with the team's quota.
func (q *quotaRig) start(name string) *node {
	n := q.node(name)
	n.SetWorkers(q.members)
	n.SetPolicy(settings.Default().Batch, placement.Options{Teams: map[string]settings.Team{"team": {MilliCPU: quotaCores * 1000}}})
	q.nodes = append(q.nodes, n)
	return n
}

// assign makes a host the owner of a shard in the table; publishOwnership
// notifies the hosts.
func (q *quotaRig) assign(shard string, n *node) {
	q.owners[shard] = n
	q.table.Put(shardKey(shard), []byte(n.config.Host))
}

// publishOwnership passes the current ownership to all hosts except one; nil for
// no exception.
func (q *quotaRig) publishOwnership(except *node) {
	q.epochs++
	for _, n := range q.nodes {
		if n == except {
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
	q.advanceTime(0)
}

// submitJobs submits jobs to a shard's zone.
func (q *quotaRig) submitJobs(shard, count, cores int, run time.Duration) {
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

// injectFault causes or clears one random fault.
func (q *quotaRig) injectFault(rnd *rand.Rand, step int) {
	shard := quotaShard(rnd.IntN(quotaShards))
	switch rnd.IntN(8) {
	case 0:
		q.partition(q.nodes[rnd.IntN(len(q.nodes))].config.Host, rnd.IntN(2) == 0)
	case 1:
		q.table.Set(func(f *memtable.Faults) { f.Down = !f.Down })
	case 2:
		q.table.Set(func(f *memtable.Faults) { f.LoseAnswers = 1 + rnd.IntN(2) })
	case 3: // an owner is killed, and others take over its shards
		i := rnd.IntN(len(q.nodes))
		killed := q.nodes[i]
		killed.kill()
		q.nodes = append(q.nodes[:i:i], q.nodes[i+1:]...)
		q.start(fmt.Sprint("s", step))
		for name, owner := range q.owners {
			if owner == killed {
				q.assign(name, q.nodes[rnd.IntN(len(q.nodes))])
			}
		}
		q.publishOwnership(nil)
	case 4, 5: // a shard gets a new owner without a notification to the old one
		old := q.owners[shard]
		q.assign(shard, q.nodes[rnd.IntN(len(q.nodes))])
		q.publishOwnership(old)
	default:
		q.publishOwnership(nil)
	}
}

// peakReserved returns the peak of the reservations of all runs, in cores.
func peakReserved(records []check.Record) int64 {
	var held, peak int64
	runs := map[infra.RunID]int64{}
	for _, r := range records {
		switch {
		case r.RunBegan != nil:
			runs[r.RunBegan.Run] = r.RunBegan.Resources.MilliCPU / 1000
			held += runs[r.RunBegan.Run]
			peak = max(peak, held)
		case r.RunEnded != nil:
			held -= runs[r.RunEnded.Run]
			delete(runs, r.RunEnded.Run)
		}
	}
	return peak
}

// runQuotasWithFaults injects random faults while demand moves between shards,
// and returns the peak of the team's reservations in cores.
func runQuotasWithFaults(t *testing.T, seed uint64, f faults) int64 {
	rnd := rand.New(rand.NewPCG(seed, 0))
	return runQuotaRig(t, f, func(q *quotaRig) {
		for step := range 25 {
			q.injectFault(rnd, step)
			q.submitJobs(rnd.IntN(quotaShards), 1+rnd.IntN(4), 2, time.Duration(5+rnd.IntN(20))*time.Second)
			q.advanceTime(time.Duration(rnd.IntN(4000)) * time.Millisecond)
		}
		q.table.Set(func(f *memtable.Faults) { *f = memtable.Faults{} })
		q.partition("", false)
		q.publishOwnership(nil)
		q.advanceTime(time.Minute)
	})
}

func TestTeamStaysWithinItsQuotaOverShards(t *testing.T) {
	const seeds = 10
	busy, exceeded := 0, 0
	for seed := range uint64(seeds) {
		peak := runQuotasWithFaults(t, seed, faults{})
		if peak > quotaCores {
			t.Errorf("seed %d: %d cores reserved of a quota of %d", seed, peak, quotaCores)
		}
		if peak > quotaCores/2 {
			busy++
		}
		if exceeded == 0 && runQuotasWithFaults(t, seed, faults{wholeQuota: true}) > quotaCores {
			exceeded++
		}
	}
	t.Logf("%d of %d seeds used more than half of the quota", busy, seeds)
	if busy == 0 || exceeded == 0 {
		t.Error("no run used more than half of the quota, or none exceeded it without division: the test can't detect a violation")
	}
}

// heldTable delays the commits for which holds returns true: it closes reached
// and waits until release is closed.
type heldTable struct {
	infra.Table
	holds   func(infra.Transaction) bool
	reached chan struct{}
	release chan struct{}
}

func (h *heldTable) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	if h.holds(tx) {
		close(h.reached)
		<-h.release
		ctx = context.WithoutCancel(ctx)
	}
	return h.Table.Commit(ctx, tx)
}

// runDivisionWithOwnerChange changes the owners of shards between their reports
// and the commit of the division that lowers their bounds, and gives the new
// owners jobs. It returns the peak of the team's reservations in cores.
func runDivisionWithOwnerChange(t *testing.T, f faults) int64 {
	return runQuotaRig(t, f, func(q *quotaRig) {
		held := &heldTable{reached: make(chan struct{}), release: make(chan struct{})}
		q.wrapTable = func(table infra.Table) infra.Table { held.Table = table; return held }
		armed := false
		held.holds = func(tx infra.Transaction) bool {
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
		// One host owns all shards at first, and divides the quota.
		n := q.start(dividerName(q.nodes[0].config.Host))
		for i := range quotaShards {
			q.assign(quotaShard(i), n)
		}
		q.publishOwnership(nil)
		q.advanceTime(5 * time.Second)
		armed = true
		q.submitJobs(0, 20, 1, time.Minute)
		select {
		case <-held.reached:
		case <-time.After(time.Minute):
			t.Error("no division was committed within a minute of the demand")
			return
		}
		for i := 1; i < quotaShards; i++ {
			q.assign(quotaShard(i), q.nodes[0])
		}
		q.publishOwnership(n)
		q.advanceTime(3 * time.Second)
		for i := 1; i < quotaShards; i++ {
			q.submitJobs(i, 4, 1, time.Minute)
		}
		q.advanceTime(5 * time.Second)
		close(held.release)
		q.advanceTime(30 * time.Second)
	})
}

// dividerName returns the name of a host that divides the team's quota if it and
// other are the only hosts.
func dividerName(other string) string {
	for i := 0; ; i++ {
		name := fmt.Sprint("all", i)
		if rendezvous.New([]string{name, other}, xxhash.Sum64String).Lookup("team") == name {
			return name
		}
	}
}

func TestDivisionIsConditionalOnOwners(t *testing.T) {
	if peak := runDivisionWithOwnerChange(t, faults{}); peak > quotaCores {
		t.Errorf("%d cores reserved of a quota of %d", peak, quotaCores)
	}
	if peak := runDivisionWithOwnerChange(t, faults{unfencedQuota: true}); peak <= quotaCores {
		t.Errorf("without the condition on owners only %d cores reserved of a quota of %d: the test can't detect a violation", peak, quotaCores)
	}
}

// TestQuotaFollowsDemand checks that the quota moves to the shard with demand,
// first to one shard and then to another.
func TestQuotaFollowsDemand(t *testing.T) {
	runQuotaRig(t, faults{}, func(q *quotaRig) {
		for _, shard := range []int{0, 4} {
			q.submitJobs(shard, 20, 2, 30*time.Second)
			var coresInUse []int
			for range 12 {
				q.advanceTime(time.Second)
				coresInUse = append(coresInUse, 2*q.owners[quotaShard(shard)].Counts().Running)
			}
			t.Logf("shard %d: cores in use after each second, of %d: %v (a static split gives %d)", shard, quotaCores, coresInUse, quotaCores/quotaShards)
			if coresInUse[len(coresInUse)-1] != quotaCores {
				t.Errorf("shard %d: %d cores in use after 12 s, want all %d", shard, coresInUse[len(coresInUse)-1], quotaCores)
			}
			q.advanceTime(3 * time.Minute)
		}
	})
}
