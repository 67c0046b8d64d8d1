package control

import (
	"context"
	"hash/fnv"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/outcome"
)

// follow monitors the owner until it is suspected, and then takes part in
// replacing it. It returns after each change of owner.
func (n *Node) follow(ctx context.Context) {
	_, leader, _ := n.current()
	s := suspicion{reason: "no owner is known", terminated: true}
	if leader.Host != "" && !leader.Resigned {
		s = n.watchLeader(ctx, leader)
	}
	if ctx.Err() != nil {
		return
	}
	event.OwnerSuspected.Log(n.opts.Log, slog.String("host", leader.Host), slog.Uint64("epoch", leader.Epoch),
		slog.String("why", s.reason), slog.Uint64("version", s.version))
	n.replace(ctx, s)
}

// suspicion is the reason for replacing the owner, and what is known of its
// row.
type suspicion struct {
	reason string
	// terminated is set if the owner's process seems to have terminated.
	terminated bool
	// version is the last known version of the owner's row, and since the time from
	// which the row is known to be unchanged, zero if there is no such time.
	version uint64
	since   time.Time
}

// watchLeader pings the owner until there is a reason to suspect it, and
// returns the suspicion. It returns early if the context ends.
func (n *Node) watchLeader(ctx context.Context, leader election.Record) (s suspicion) {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
		r, res := n.ping(ctx, leader)
		switch res {
		case outcome.NotRun:
			s.reason, s.terminated = "unreachable", true
			return s
		case outcome.Unknown:
			s.reason = "no answer"
			return s
		}
		a := r.status()
		s.reason, s.terminated = a.SuspectReason(&leader)
		if a.Owns(&leader) {
			s.version, s.since = r.Version, time.Now().Add(-a.CommitAge)
		}
		if s.reason != "" {
			return s
		}
		n.recordLeaderAnswer()
		select {
		case <-t.C:
		case <-ctx.Done():
			return s
		}
	}
}

// ping asks the owner for its status, and records the hosts and the number of
// relays that the owner reports.
func (n *Node) ping(ctx context.Context, leader election.Record) (pingReply, outcome.Kind) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var r pingReply
	q := pingRequest{
		Epoch: leader.Epoch, Address: n.opts.Address, Hosts: n.hostCount(), Cores: n.offeredCores(), Zone: n.opts.Zone,
		ClosedZones: toldClosedZones(n.ClosedZones()),
	}
	sentAt := boottime()
	res := n.client.Call(ctx, leader.Host, methodPing, q, &r)
	n.loads.setUnanswered(res.Kind != outcome.Answered)
	n.setHosts(r.Hosts)
	n.hearClosedZones(r.ClosedZones, leader.Host)
	if r.Owner {
		n.relaysPerZone.Store(int64(r.Relays))
		n.loads.hear(r.Loads, sentAt)
	}
	return r, res.Kind
}

// hostCount returns the number of known hosts.
func (n *Node) hostCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.hosts)
}

// replace polls the owner's row until it names another owner or this host has
// taken the domain over.
func (n *Node) replace(ctx context.Context, s suspicion) {
	_, old, _ := n.current()
	t := time.NewTicker(rowPollInterval)
	defer t.Stop()
	for !n.tryReplace(ctx, old, &s) {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// tryReplace makes one attempt to find a new owner or to take the domain over,
// and reports whether it succeeded. After a takeover it returns only when this
// host's ownership has ended. It updates the version and the time in s by what
// it reads.
func (n *Node) tryReplace(ctx context.Context, old election.Record, s *suspicion) bool {
	if hint, ok := n.newerHint(old); ok {
		n.followOwner(hint)
		return true
	}
	start := time.Now()
	record, version, err := n.readOwner(ctx)
	readAt := time.Now()
	readDelay := slowReadFactor * readAt.Sub(start)
	switch {
	case err != nil:
		event.OwnerReadFailed.Log(n.opts.Log, slog.Any("err", err))
		s.since = time.Time{}
		n.askPeers(ctx)
		return false
	case record.Host != "" && !record.Resigned && !record.SameOwnership(&old):
		n.followOwner(record)
		return true
	case s.since.IsZero() || version != s.version:
		if !s.since.IsZero() && n.ownerAlive(ctx, record) {
			n.setLeader(record, nil)
			return true
		}
		// The row is known since the read; the ping in between may have taken its timeout.
		s.version, s.since = version, readAt
		if record.Host == "" {
			s.since = s.since.Add(-suspectTimeout) // no owner to wait for
		}
	}
	wait := election.AcquireWait(&record, n.opts.Cores, n.takeoverTimeout(s.terminated)+readDelay)
	return time.Since(s.since) >= wait && n.takeOver(ctx, record, version)
}

// followOwner makes the host follow another owner.
func (n *Node) followOwner(r election.Record) {
	n.setLeader(r, nil)
	event.OwnerFollowed.Log(n.opts.Log, slog.String("host", r.Host), slog.Uint64("epoch", r.Epoch))
}

// ownerAlive reports whether the owner answers and its commits succeed.
func (n *Node) ownerAlive(ctx context.Context, leader election.Record) bool {
	r, res := n.ping(ctx, leader)
	a := r.status()
	reason, _ := a.SuspectReason(&leader)
	return res == outcome.Answered && reason == ""
}

// readOwner reads the owner's row.
func (n *Node) readOwner(ctx context.Context) (election.Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	return election.Read(ctx, n.opts.Table)
}

// takeoverTimeout returns how long the owner's row must stay unchanged before
// this host takes the domain over. A per-host jitter keeps attempts apart.
func (n *Node) takeoverTimeout(terminated bool) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.opts.Host)) // never fails
	jitter := time.Duration(h.Sum32()%jitterSteps) * jitterStep
	if terminated {
		return terminatedTimeout + jitter
	}
	return suspectTimeout + jitter
}

// slowReadFactor is the multiple of a row read's duration that is added to the
// takeover timeout, since the owner's commits take longer as well when the
// table service is slow. A commit takes a little over two reads, and the next
// follows at once.
const slowReadFactor = 3

// Jitter of the takeover timeout; a step exceeds the usual duration of a
// commit.
const (
	jitterSteps = 8
	jitterStep  = 25 * time.Millisecond
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
		event.OwnershipNotAcquired.Log(n.opts.Log, slog.Any("epoch", previous.Epoch+1), slog.Any("err", err))
		return false
	}
	event.OwnershipAcquired.Log(n.opts.Log, slog.Any("epoch", c.Record().Epoch), slog.Any("before", previous.Host),
		slog.Float64("cores", self.Cores), slog.Float64("best", previous.Cores), slog.Any("earlier", epochs(c.Record().Earlier)))
	n.lead(ctx, c, previous, begun)
	return true
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
