package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
)

// takeOver tries to acquire the domain, and leads it until the ownership ends.
// It reports whether the domain was acquired.
func (n *Node) takeOver(ctx context.Context, previous election.Record, version uint64) bool {
	if n.stopping() {
		return false
	}
	self := election.Record{Host: n.opts.Host, Address: n.opts.Address, Incarnation: n.opts.Incarnation, Cores: n.opts.Cores}
	attempt, cancel := context.WithTimeout(ctx, rowTimeout)
	begun := boottime()
	c, err := election.Acquire(attempt, n.opts.Table, self, previous, version)
	cancel()
	if err != nil {
		event.OwnershipNotAcquired.Log(n.opts.Log, slog.Any("epoch", previous.Epoch+1), slog.Any("err", err),
			slog.Uint64("version", version), slog.Any("effort", effortFields(c.Effort())))
		return false
	}
	event.OwnershipAcquired.Log(n.opts.Log, slog.Any("epoch", c.Record().Epoch), slog.Any("before", previous.Host),
		slog.Float64("cores", self.Cores), slog.Float64("best", previous.Cores), slog.Any("earlier", epochs(c.Record().Earlier)),
		slog.Any("effort", effortFields(c.Effort())))
	n.lead(ctx, c, previous, begun)
	return true
}

// effortFields returns, for the log, what an attempt to acquire the domain took.
func effortFields(e election.Effort) slog.Value {
	return slog.GroupValue(slog.Int64("ms", e.Took.Milliseconds()), slog.Int("attempts", e.Attempts),
		slog.Int("answered", e.Answered), slog.Int("refused", e.Refused))
}

// epochs returns, for the log, the epochs of the owners that may still give orders.
func epochs(owners []election.EarlierOwner) []uint64 {
	var all []uint64
	for _, e := range owners {
		if !e.Stopped() {
			all = append(all, e.Epoch)
		}
	}
	return all
}

// lead loads the domain's state and runs an owner until it is deposed or has
// resigned. acquiredAt is a boottime before the commit that acquired the domain.
func (n *Node) lead(ctx context.Context, c *election.Committer, previous election.Record, acquiredAt time.Duration) {
	n.mu.Lock()
	opts := n.opts
	n.mu.Unlock()
	o := newOwner(ctx, opts, c, *n.config.Load(), acquiredAt)
	o.closedZones = n.ClosedZones
	defer o.relays.close()
	o.candidates = &n.candidates
	// The load that made the previous owner use relays persists.
	o.relayScaler.Restore(int(n.relaysPerZone.Load()))
	o.rosterEpochsKnown = previous.RosterEpochs
	o.inheritedReference = previous.Cores
	o.predecessorHandedOver = previous.Resigned && previous.HandedOver && previous.Cores > opts.Cores
	go n.announceOwnership(o.ctx, c.Record(), func(e election.EarlierOwner) {
		o.post(func() { o.handleEarlierOwnerStopped(e) })
	})
	opts.recordOwnership(true)
	defer opts.recordOwnership(false)
	go o.keepRowFresh()
	// Requests that arrive while the state is loaded wait for the loop.
	n.setLeader(c.Record(), o)
	if n.stopping() {
		go o.resign(ctx) // Resign was called before this owner was set
	}
	switch err := o.load(); {
	case errors.Is(err, errLoadSkipped):
		o.handOverUnloaded(ctx, previous)
		event.OwnershipLost.Log(n.opts.Log, slog.Any("epoch", o.epoch), slog.Any("err", context.Cause(o.ctx)))
		close(o.stopped)
		n.setLeader(election.Record{}, nil)
		return
	case err != nil:
		event.LoadFailed.Log(n.opts.Log, slog.Any("epoch", o.epoch), slog.Any("err", err))
		o.quit(err)
		close(o.stopped) // Resign waits for it
		n.setLeader(election.Record{}, nil)
		return
	}
	o.run()
	event.OwnershipLost.Log(n.opts.Log, slog.Any("epoch", o.epoch), slog.Any("err", context.Cause(o.ctx)))
	n.setLeader(election.Record{}, nil)
}
