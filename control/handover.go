package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
)

// handoverTimeout bounds a handover: the end of the current cycle and two
// commits, which may be slow.
const handoverTimeout = 10 * time.Second

// offeredCores returns the number of processors that this host offers as owner,
// 0 if it no longer accepts the domain.
func (n *Node) offeredCores() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resigned {
		return 0
	}
	return n.opts.Cores
}

// handOver begins a handover if a clearly stronger host is available. It
// reports whether a handover is in progress, during which nothing is planned.
func (o *Owner) handOver() bool {
	if o.handingOver || o.resigning {
		return o.handingOver
	}
	now := boottime()
	s := election.HandoverState{Cores: o.opts.Cores, OwnedFor: now - o.ownedSince, CommitAge: o.commitAge(), PredecessorHandedOver: o.predecessorHandedOver}
	s.BestCores, s.BestSeenFor = o.candidates.Strongest(now)
	if !s.ShouldHandOver() {
		return false
	}
	event.HandoverStarted.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.Float64("cores", s.Cores), slog.Float64("best", s.BestCores))
	o.handingOver = true
	go func() {
		o.committer.MarkHandedOver()
		ctx, cancel := context.WithTimeout(o.ctx, handoverTimeout)
		defer cancel()
		o.resign(ctx)
	}()
	return true
}
