package batch

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// hostWorkers is one entry host's way to the workers. Exchanges with the cut
// worker get no answer; the first of them is held.
type hostWorkers struct {
	infra.Workers
	mu   sync.Mutex
	cut  string
	held *infra.Exchange
	// started is the worker that got the first start.
	started string
}

func (h *hostWorkers) Exchange(ctx context.Context, address string, x infra.Exchange) (infra.ExchangeReply, error) {
	h.mu.Lock()
	if x.Starts() && h.started == "" {
		h.started = address
	}
	cut := h.cut == address
	if cut && h.held == nil {
		h.held = &x
	}
	h.mu.Unlock()
	if cut {
		<-ctx.Done()
		return infra.ExchangeReply{}, infra.ErrUnavailable
	}
	return h.Workers.Exchange(ctx, address, x)
}

// runLateRenewal gives a shard three owners. The second one's first exchange
// with the worker of a run is under way for long, the third one does not reach
// that worker. It returns how often the job ran on two workers at once. If
// fresh is set, the late exchange renews the leases whatever its age.
func runLateRenewal(t *testing.T, late time.Duration, listed, fresh bool) (count int) {
	bubble(t, 2, func(r *rig) {
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		recorder := r.useRealPlanner(ctx, &done)
		workers := r.workerClient
		host := func(name, cut string) (*node, *hostWorkers) {
			h := &hostWorkers{Workers: workers, cut: cut}
			r.workerClient = h
			n := r.node(name)
			r.own(n)
			return n, h
		}
		first, toFirst := host("a", "")
		r.advanceTime(2 * time.Second)
		r.submit(first, spec("j", time.Hour))
		r.advanceTime(2 * time.Second)
		address := toFirst.started
		first.kill()
		second, toSecond := host("b", address)
		r.advanceTime(2 * time.Second)
		second.kill()
		if toSecond.held == nil {
			t.Fatal("the second owner sent no exchange to the worker")
		}
		r.advanceTime(3 * time.Second)
		third, _ := host("c", address)
		if !listed {
			others := slices.DeleteFunc(slices.Clone(r.members), func(m infra.Member) bool { return m.Address == address })
			third.SetWorkers(map[string][]infra.Member{shard: others})
		}
		r.advanceTime(late)
		x := *toSecond.held
		if fresh {
			reply, err := workers.Exchange(ctx, address, infra.Exchange{OwnerEpoch: x.OwnerEpoch, LeaseMS: x.LeaseMS})
			if err != nil {
				t.Fatal(err)
			}
			x.Incarnation, x.ValidUntilMS = reply.Incarnation, reply.ClockMS
		}
		if _, err := workers.Exchange(ctx, address, x); err != nil {
			t.Fatal(err)
		}
		r.advanceTime(time.Minute)
		r.expectState(third, "j", task.Running)
		stop()
		done.Wait()
		for _, v := range check.Run(recorder.Records()).Violations {
			if v.Promise == check.SinglePlacement {
				count++
			}
		}
	})
	return count
}

// TestLateFirstExchangeRenewsNoLease checks that a run has ended when a third
// owner takes its lease as over, although the second owner's first exchange
// with the worker, which names no incarnation and so has no validity, arrives
// only then.
func TestLateFirstExchangeRenewsNoLease(t *testing.T) {
	for _, listed := range []bool{true, false} {
		for late := 5 * time.Second; late <= 25*time.Second; late += 5 * time.Second {
			if count := runLateRenewal(t, late, listed, false); count > 0 {
				t.Errorf("listed %t, %v late: the job ran on two workers at once", listed, late)
			}
		}
	}
	if runLateRenewal(t, 20*time.Second, false, true) == 0 {
		t.Error("no violation found for a worker whose leases a late exchange renews")
	}
}
