package batch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/standin"
	"github.com/fireflygate/fireflygate/task"
)

// delayingWorkers holds back the first exchange with a start. If cut is set, it
// also makes the worker of that exchange unreachable.
type delayingWorkers struct {
	infra.Workers
	mu      sync.Mutex
	address string
	held    infra.Exchange
	cut     bool
}

func (p *delayingWorkers) Exchange(ctx context.Context, address string, x infra.Exchange) (infra.ExchangeReply, error) {
	p.mu.Lock()
	hold := p.address == "" && x.Starts()
	if hold {
		p.address, p.held = address, x
	}
	hold = hold || p.cut && address == p.address
	p.mu.Unlock()
	if hold {
		<-ctx.Done()
		return infra.ExchangeReply{}, infra.ErrUnavailable
	}
	return p.Workers.Exchange(ctx, address, x)
}

// deliver delivers the held exchange. If fresh is set, the exchange has the
// worker's current incarnation and time, which simulates a worker that checks
// neither.
func (p *delayingWorkers) deliver(t *testing.T, fresh bool) {
	x := p.held
	if fresh {
		reply, err := p.Workers.Exchange(t.Context(), p.address, infra.Exchange{OwnerEpoch: x.OwnerEpoch, LeaseMS: x.LeaseMS})
		if err != nil {
			t.Fatal(err)
		}
		x.Incarnation, x.ValidUntilMS = reply.Incarnation, reply.ClockMS
	}
	if _, err := p.Workers.Exchange(t.Context(), p.address, x); err != nil {
		t.Fatal(err)
	}
}

// runDelayedStart delivers the exchange with a job's first start only after the
// job has been started on another worker, because the first worker restarted or
// was unreachable for longer than its leases. It returns how often the job ran on
// two workers at once.
func runDelayedStart(t *testing.T, restart, fresh bool) (count int) {
	bubble(t, 2, func(r *rig) {
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		recorder := r.useRealPlanner(ctx, &done)
		workers := &delayingWorkers{Workers: r.workerClient, cut: !restart}
		r.workerClient = workers
		n := r.node("a")
		r.own(n)
		r.advanceTime(2 * time.Second)
		r.submit(n, spec("j", time.Hour))
		r.advanceTime(500 * time.Millisecond)
		if workers.address == "" {
			t.Fatal("no start was sent")
		}
		n.post(func(time.Time) { n.shards[shard].planner.Avoid("j", workers.address) })
		if restart {
			worker := r.standIns[workers.address]
			worker.Set(standin.WorkerFaults{Dead: true})
			r.advanceTime(100 * time.Millisecond)
			worker.Set(standin.WorkerFaults{})
		}
		r.advanceTime(time.Minute)
		if rec := r.expectState(n, "j", task.Running); rec.Epoch < 2 || rec.Worker == workers.address {
			t.Errorf("the job was not moved: %+v", rec)
		}
		workers.deliver(t, fresh)
		r.advanceTime(5 * time.Second)
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

func TestDelayedStartIsRejected(t *testing.T) {
	for _, restart := range []bool{true, false} {
		if count := runDelayedStart(t, restart, false); count > 0 {
			t.Errorf("restart %t: the job ran on two workers at once", restart)
		}
		if runDelayedStart(t, restart, true) == 0 {
			t.Errorf("restart %t: no violation found for a worker that checks neither incarnation nor time", restart)
		}
	}
}
