package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
)

// attempted is an attempt to acquire the domain. Only Run's goroutine uses it.
type attempted struct {
	// previous is the row that the attempt would replace; its epoch follows that one's.
	previous election.Record
	// open is set until the host leads the domain in that epoch.
	open bool
}

// takeOver tries to acquire the domain, and leads it until the ownership ends.
// It reports whether the domain was acquired. If other hosts try, or this one has to wait
// since it reaches none, it does nothing; s tells when to try again.
func (n *Node) takeOver(ctx context.Context, s *suspicion, row rowRead) bool {
	if n.stopping() || time.Now().Before(s.lockAt) {
		return false
	}
	lock := n.askForLock(ctx, row.version)
	if !lock.shared && s.unlockedAt.IsZero() {
		s.unlockedAt = time.Now().Add(unlockedDelay(max(n.hostCount(), row.record.Hosts), row.took))
	}
	if !lock.held || !lock.shared && time.Now().Before(s.unlockedAt) {
		s.lockAt = time.Now().Add(election.LockRetryInterval)
		if !lock.shared {
			s.lockAt = s.unlockedAt
		}
		return false
	}
	begun := boottime()
	c, err := n.acquire(ctx, lock, row, s.unchangedFor(row.version))
	if err != nil && !errors.Is(err, election.ErrDeposed) {
		n.requestLock(ctx, lock.address, row.version, true)
	}
	// Otherwise the row has changed, and the lock keeps hosts from it that don't know yet.
	if err != nil {
		event.OwnershipNotAcquired.Log(n.opts.Log, slog.Any("epoch", row.record.Epoch+1), slog.Any("err", err),
			slog.Uint64("version", row.version), slog.Any("effort", effortFields(c.Effort())))
		return false
	}
	event.OwnershipAcquired.Log(n.opts.Log, slog.Any("epoch", c.Record().Epoch), slog.Any("before", row.record.Host),
		slog.Float64("cores", n.opts.Cores), slog.Float64("best", row.record.Cores), slog.Any("earlier", epochs(c.Record().Earlier)),
		slog.Any("effort", effortFields(c.Effort())))
	n.attempted.open = false
	n.lead(ctx, c, row.record, begun)
	return true
}

// acquire commits the row of the next owner while the host holds the advisory lock. The row that
// it replaces has been unchanged for some time.
func (n *Node) acquire(ctx context.Context, lock lockResult, row rowRead, unchanged time.Duration) (*election.Committer, error) {
	self := election.Record{Host: n.opts.Host, Address: n.opts.Address, Incarnation: n.opts.Incarnation, Cores: n.opts.Cores}
	ctx, cancel := context.WithTimeout(ctx, election.MaxAcquireTime)
	defer cancel()
	go n.keepLock(ctx, lock.address, row.version, cancel)
	n.attempted = attempted{previous: row.record, open: true}
	replaced := election.Replaced{Record: row.record, Version: row.version, Unchanged: unchanged, ReadTime: row.took}
	return election.Acquire(ctx, n.opts.Table, self, replaced, boottime)
}

// resume leads the domain if the row names this host by an attempt that was given up and
// took effect later. Otherwise the row would name a host that doesn't act. The row was
// read after the attempt took effect, so the ownership counts from the start of the read.
func (n *Node) resume(ctx context.Context, row rowRead) bool {
	a := n.attempted
	if !a.open || row.record.Incarnation != n.opts.Incarnation || row.record.Epoch != a.previous.Epoch+1 || row.record.Resigned || n.stopping() {
		return false
	}
	n.attempted.open = false
	event.OwnershipResumed.Log(n.opts.Log, slog.Any("epoch", row.record.Epoch), slog.Any("before", a.previous.Host))
	n.lead(ctx, election.Resume(n.opts.Table, row.record, row.version, boottime), a.previous, row.begunAt)
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
	o.boundReplacedCommit(&previous)
	o.closedZones = n.ClosedZones
	defer o.relays.close()
	o.candidates = &n.candidates
	// The load that made the previous owner use relays persists.
	o.relayScaler.Restore(int(n.relaysPerZone.Load()))
	o.rosterEpochsKnown = previous.RosterEpochs
	o.unbounded = previous.BoundByMajority()
	o.inheritedReference, o.inheritedHosts = previous.Cores, previous.Hosts
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
