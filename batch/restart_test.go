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

// slowPath keeps the first exchange with a start on its way, and can cut off
// the worker that it goes to.
type slowPath struct {
	infra.Workers
	mu      sync.Mutex
	address string
	held    infra.Exchange
	cut     bool
}

func (p *slowPath) Exchange(ctx context.Context, address string, x infra.Exchange) (infra.ExchangeReply, error) {
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

// deliver has the held exchange arrive. With fresh it names the worker's life
// and time as of now, as if the worker did not look at them.
func (p *slowPath) deliver(t *testing.T, fresh bool) {
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

// delayedStart has the exchange with a job's first start arrive only after the
// job was moved to another worker: because the first was restarted, or because
// it was out of reach for longer than its leases.
func delayedStart(t *testing.T, restart, fresh bool) (wrong int) {
	bubble(t, 2, func(r *rig) {
		ctx, stop := context.WithCancel(context.Background())
		var done sync.WaitGroup
		recorder := r.real(ctx, &done)
		path := &slowPath{Workers: r.reach, cut: !restart}
		r.reach = path
		n := r.node("a")
		r.own(n)
		r.settle(2 * time.Second)
		r.submit(n, spec("j", time.Hour))
		r.settle(500 * time.Millisecond)
		if path.address == "" {
			t.Fatal("no start was sent")
		}
		n.post(func(time.Time) { n.shards[shard].planner.Avoid("j", path.address) })
		if restart {
			worker := r.stands[path.address]
			worker.Set(standin.WorkerFaults{Dead: true})
			r.settle(100 * time.Millisecond)
			worker.Set(standin.WorkerFaults{})
		}
		r.settle(time.Minute)
		if rec := r.state(n, "j", task.Running); rec.Epoch < 2 || rec.Worker == path.address {
			t.Errorf("the job was not moved: %+v", rec)
		}
		path.deliver(t, fresh)
		r.settle(5 * time.Second)
		stop()
		done.Wait()
		for _, v := range check.Run(recorder.Records()).Violations {
			if v.Promise == check.OnePlace {
				wrong++
			}
		}
	})
	return wrong
}

func TestDelayedStartRunsNothing(t *testing.T) {
	for _, restart := range []bool{true, false} {
		if wrong := delayedStart(t, restart, false); wrong > 0 {
			t.Errorf("restart %t: the job ran in two places", restart)
		}
		if delayedStart(t, restart, true) == 0 {
			t.Errorf("restart %t: a worker that looks at neither life nor time passes the check", restart)
		}
	}
}
