package batch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/ownership"
	"github.com/fireflygate/fireflygate/standin"
)

const (
	successionSeeds = 150
	// faultySeeds is the number of seeds that also run with a mechanism disabled.
	faultySeeds = 20
	// successionOwners is the number of owners that a shard has in turn.
	successionOwners = 5
	// lateExchangePercent is the probability that an exchange gets no answer and
	// arrives late; lateFirstPercent is that of an exchange without an
	// incarnation.
	lateExchangePercent = 10
	lateFirstPercent    = 60
	// lastTerm is how long the last owner has the shard.
	lastTerm = 100 * time.Second
)

// unreliableWorkers is one entry host's way to the workers: some can't be
// reached, and some exchanges arrive late, also after their sender has ended.
type unreliableWorkers struct {
	infra.Workers
	mu sync.Mutex
	// random holds a source for each worker, so that it doesn't matter in which
	// order exchanges are sent.
	random map[string]*rand.Rand
	cut    map[string]bool
	// arrivals counts the exchanges under way; stopped ends them.
	arrivals *sync.WaitGroup
	stopped  context.Context
}

func (u *unreliableWorkers) Exchange(ctx context.Context, address string, x infra.Exchange) (infra.ExchangeReply, error) {
	percent := lateExchangePercent
	if x.Incarnation == "" {
		percent = lateFirstPercent
	}
	u.mu.Lock()
	cut, late := u.cut[address], u.random[address].IntN(100) < percent
	arrival := time.After(time.Duration(u.random[address].IntN(40000)) * time.Millisecond)
	u.mu.Unlock()
	if late {
		u.arrivals.Go(func() {
			select {
			case <-arrival:
				_, _ = u.Workers.Exchange(u.stopped, address, x)
			case <-u.stopped.Done():
			}
		})
	}
	if cut || late {
		<-ctx.Done()
		return infra.ExchangeReply{}, infra.ErrUnavailable
	}
	return u.Workers.Exchange(ctx, address, x)
}

// change makes each worker unreachable from this host with a probability of one
// half, and all others reachable.
func (u *unreliableWorkers) change(rng *rand.Rand, members []infra.Member) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, m := range members {
		u.cut[m.Address] = rng.IntN(2) == 0
	}
}

// runSuccessions gives a shard several owners in turn, within a lease of each
// other or not. An owner ends, or goes on until its grant does, when the next one
// takes over, without being told. It returns the violations and the number of
// runs.
func runSuccessions(t *testing.T, seed uint64, f faults) (violations []check.Violation, runs int) {
	bubble(t, 3, func(r *rig) {
		r.faults = f
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		recorder := r.useRealPlanner(ctx, &done)
		rng := rand.New(rand.NewPCG(seed, 0))
		workers := r.workerClient
		var last *node
		for i := range successionOwners {
			u := &unreliableWorkers{
				Workers: workers, random: map[string]*rand.Rand{}, cut: map[string]bool{},
				arrivals: &done, stopped: ctx,
			}
			for _, m := range r.members {
				u.random[m.Address] = rand.New(rand.NewPCG(rng.Uint64(), 0))
			}
			if i > 0 {
				u.change(rng, r.members)
			}
			r.workerClient = u
			if last != nil && rng.IntN(2) == 0 {
				last.kill()
			}
			term := time.Duration(1000+rng.IntN(8000)) * time.Millisecond
			if i == successionOwners-1 {
				term = lastTerm
			}
			last = r.node(fmt.Sprint("n", i))
			r.ownUntil(last, time.Now().Add(term))
			for range 4 {
				r.advanceTime(term / 4)
				if rng.IntN(4) == 0 {
					u.change(rng, r.members)
				}
				r.disturbWorker(rng, last)
				if i < 2 {
					_, _, _ = last.Submit(ctx, spec(fmt.Sprint("j", i, "-", rng.IntN(3)), time.Hour))
				}
			}
		}
		stop()
		done.Wait()
		for _, record := range recorder.Records() {
			if record.RunBegan != nil {
				runs++
			}
		}
		violations = check.Run(recorder.Records()).Violations
	})
	return violations, runs
}

// ownUntil makes the host the shard's owner with a grant that ends at until,
// whether or not it is told then.
func (r *rig) ownUntil(n *node, until time.Time) {
	r.epoch++
	version := r.table.Put(shardKey(shard), []byte(n.config.Host))
	r.owner = n.config.Host
	r.setOwnership(n, ownership.Grant{Shard: shard, Epoch: r.epoch, Version: version, Share: ownership.Full, Until: until})
}

// disturbWorker restarts a random worker, or takes one off the owner's list, or
// does neither.
func (r *rig) disturbWorker(rng *rand.Rand, n *node) {
	i := rng.IntN(len(r.members))
	switch rng.IntN(4) {
	case 0:
		w := r.standIns[r.members[i].Address]
		w.Set(standin.WorkerFaults{Dead: true})
		w.Set(standin.WorkerFaults{})
	case 1:
		n.SetWorkers(map[string][]infra.Member{shard: slices.Delete(slices.Clone(r.members), i, i+1)})
	case 2:
		n.SetWorkers(map[string][]infra.Member{shard: r.members})
	}
}

// TestSuccessionsKeepOnePlace checks with many seeds that no job runs in two
// places while its shard changes owners, workers are reached by a part of them,
// and exchanges arrive late.
func TestSuccessionsKeepOnePlace(t *testing.T) {
	runs, detected := 0, 0
	for seed := range uint64(successionSeeds) {
		found, n := runSuccessions(t, seed, faults{})
		for _, v := range found {
			t.Errorf("seed %d: %+v", seed, v)
		}
		runs += n
	}
	for seed := range uint64(faultySeeds) {
		if found, _ := runSuccessions(t, seed, faults{lapseAtOnce: true}); len(found) > 0 {
			detected++
		}
	}
	t.Logf("%d runs in %d simulations; with runs lost at once: violation detected in %d of %d", runs, successionSeeds, detected, faultySeeds)
	if detected == 0 {
		t.Error("with runs lost at once: no violation detected in any run")
	}
}
