package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

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

// handoverState returns the input to the decisions whether to hand the domain over.
func (o *Owner) handoverState() election.HandoverState {
	now := boottime()
	s := election.HandoverState{Cores: o.opts.Cores, OwnedFor: now - o.ownedSince, CommitAge: o.commitAge(), PredecessorHandedOver: o.predecessorHandedOver}
	s.BestCores, s.BestSeenFor = o.candidates.Strongest(now)
	return s
}

// errLoadSkipped is returned by load if a stronger host should own the domain.
var errLoadSkipped = errors.New("a stronger host is available")

// checkLoad returns errLoadSkipped if the domain should be handed over rather than
// loaded.
func (o *Owner) checkLoad() error {
	if s := o.handoverState(); s.ShouldSkipLoad() {
		return errLoadSkipped
	}
	return nil
}

// handOverUnloaded gives the domain up before the state was loaded. The owner has given
// no orders and no leases.
func (o *Owner) handOverUnloaded(ctx context.Context, previous election.Record) {
	s := o.handoverState()
	event.HandoverStarted.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.Float64("cores", s.Cores), slog.Float64("best", s.BestCores), slog.Bool("loaded", false))
	o.committer.MarkHandedOver()
	o.committer.KeepRosterEpochs(previous.RosterEpochs)
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	o.released.Store(true)
	o.releaseDomain(ctx)
}

// handOver begins a handover if a clearly stronger host is available. It
// reports whether a handover is in progress, during which nothing is planned.
func (o *Owner) handOver() bool {
	if o.handingOver || o.resigning {
		return o.handingOver
	}
	s := o.handoverState()
	if !s.ShouldHandOver() {
		return false
	}
	event.HandoverStarted.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.Float64("cores", s.Cores), slog.Float64("best", s.BestCores), slog.Bool("loaded", true))
	o.handingOver = true
	go func() {
		o.committer.MarkHandedOver()
		ctx, cancel := context.WithTimeout(o.ctx, handoverTimeout)
		defer cancel()
		o.resign(ctx)
	}()
	return true
}
