package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
)

// handOverTimeout bounds a hand-over. Its two commits take some 20 ms, and a
// second where the table service answers 50 times slower; before them the loop
// ends its cycle, which took 2.4 s on 490 workers with 0.19 of a processor.
const handOverTimeout = 10 * time.Second

// offer returns the processors that this host has for the domain, 0 if it
// doesn't take it any more.
func (n *Node) offer() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resigned {
		return 0
	}
	return n.opts.Cores
}

// handOver gives the domain up if a clearly stronger host is there for it, and
// reports whether that has begun: nothing is planned any more then.
func (o *Owner) handOver() bool {
	if o.handedOver || o.resigning {
		return o.handedOver
	}
	now := boottime()
	s := election.HandoverState{Cores: o.opts.Cores, OwnedFor: now - o.begun, CommitAge: o.commitAge(), PredecessorHandedOver: o.missed}
	s.BestCores, s.BestSeenFor = o.rivals.Strongest(now)
	if !s.ShouldHandOver() {
		return false
	}
	event.HandOverBegun.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.Float64("cores", s.Cores), slog.Float64("best", s.BestCores))
	o.handedOver = true
	go func() {
		o.committer.MarkHandedOver()
		ctx, cancel := context.WithTimeout(o.ctx, handOverTimeout)
		defer cancel()
		o.resign(ctx)
	}()
	return true
}
