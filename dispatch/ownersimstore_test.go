package dispatch_test

import (
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/workload"
)

const (
	// commitRetryDelay is the time after which a commit without an answer is retried.
	commitRetryDelay = 300 * time.Millisecond
	// takeoverAfter is how long the owner's row must stay unchanged before a takeover.
	takeoverAfter = 900 * time.Millisecond
	// takeoverStep is the difference in that time between two hosts.
	takeoverStep = 100 * time.Millisecond
	// simBatchWrites bounds the writes of one commit.
	simBatchWrites = 98
)

// simStore is the table service with the owner's row. The other rows are those of the
// rig. A commit applies only if the owner's row has the expected version.
type simStore struct {
	row     election.Record
	version uint64
	// commitDelay is the time that each commit takes to arrive, in addition to a
	// random one.
	commitDelay time.Duration
	// prompt is set while commits and their answers take much less than a tick.
	prompt bool
}

// simCommit is a commit of an owner, with all its attempts.
type simCommit struct {
	owner *simOwner
	batch *dispatch.Batch
	began time.Time
	// done holds the tasks whose successful end is durable with it.
	done []workload.TaskID
}

// storeUp reports whether the store answers.
func (s *ownerSim) storeUp() bool { return !s.now.Before(s.storeDownUntil) }

// storeClock returns the store's clock, which all hosts share.
func (s *ownerSim) storeClock() time.Duration { return time.Hour + s.now.Sub(s.startedAt) }

// boundReplacedCommit takes over from the store's clock when the last commit of the replaced owner
// began, as control.Owner does.
func (s *ownerSim) boundReplacedCommit(o *simOwner, previous *election.Record) {
	if previous.Clock == 0 {
		return
	}
	age := s.storeClock() - time.Duration(previous.Clock)*time.Millisecond - s.between(0, testTick)
	if age > 0 {
		o.earlier.CommittedBefore(previous.Epoch, o.sinceStart()-age)
	}
}

// beginCommit begins a commit if the owner has changes or its row is due.
func (s *ownerSim) beginCommit(o *simOwner) {
	due := o.state.HasUnflushedChanges() || o.state.AwaitsConfirmation() || o.unverified(s.now)
	if o.committing || (!due && s.now.Sub(o.commitBegan) < heartbeatInterval) {
		return
	}
	b, err := o.state.Flush(s.now, simBatchWrites)
	if err != nil {
		s.t.Fatal(err)
	}
	o.committing, o.commitBegan = true, s.now
	o.record.Seq++
	o.record.RosterEpochs = o.record.RosterEpochs || b.RosterEpochs
	o.earlier.WorkersRemoved(b.RemovedWorkers())
	o.record.Earlier = o.earlier.List(o.sinceStart())
	if b.RosterChanged {
		o.record.RosterOf = o.epoch
	}
	o.record.Clock = (s.storeClock() + s.between(0, testTick)).Milliseconds() // it is known within an answer
	o.record.Unleased = nil
	for _, u := range b.Unleased {
		o.record.Unleased = append(o.record.Unleased, election.NewUnleasedWorker(u.Worker, u.LeaseEnd.Sub(s.now)))
	}
	c := &simCommit{owner: o, batch: b, began: s.now}
	if len(b.Writes) < simBatchWrites-1 { // it holds all changes
		c.done, o.done = o.done, nil
	}
	s.attempt(c)
}

// attempt sends a commit to the store. It is retried until its outcome is known.
func (s *ownerSim) attempt(c *simCommit) {
	host := c.owner.host
	retry := func() { s.after(commitRetryDelay, s.onOwner(c.owner, func() { s.attempt(c) })) }
	if !host.reachesStore(s.now) {
		retry()
		return
	}
	s.afterTransit(s.store.commitDelay, func() {
		if !s.storeUp() {
			retry()
			return
		}
		applied := s.tryApply(c)
		if !host.reachesStore(s.now) || s.chance(lostCommitAnswer) {
			retry()
			return
		}
		s.afterTransit(0, s.onOwner(c.owner, func() { s.committed(c, applied) }))
	})
}

// afterTransit calls f once a commit or its answer has arrived, which is delayed.
func (s *ownerSim) afterTransit(delay time.Duration, f func()) {
	if s.store.prompt {
		f()
		return
	}
	s.after(delay+s.between(0, 3*testTick), f)
}

// tryApply applies a commit if the owner's row has the version that its owner knows,
// and reports whether this or an earlier attempt was applied.
func (s *ownerSim) tryApply(c *simCommit) bool {
	o := c.owner
	if s.store.row.SameOwnership(&o.record) && s.store.row.Seq == o.record.Seq {
		return true
	}
	if s.store.version != o.version {
		return false
	}
	s.store.row = o.record
	s.store.version++
	s.write(c.batch)
	for _, w := range c.batch.Writes {
		if id, ok := strings.CutPrefix(w.Key, dispatch.JobPrefix); ok {
			s.accepted[id] = true
		}
	}
	for _, id := range c.done {
		s.tracef(id, "its end is durable in epoch %d", o.epoch)
		s.recordedDone[id] = true
	}
	return true
}

// committed handles the outcome of a commit.
func (s *ownerSim) committed(c *simCommit, applied bool) {
	o := c.owner
	if !applied {
		s.deposed(o, "its commit was refused")
		return
	}
	o.version++
	o.committedAt, o.committing = c.began, false
	o.epochsDurable = o.record.RosterEpochs
	o.state.ConfirmOwnership(c.began)
	o.state.MarkFlushed(c.batch)
}

// watchRow lets a host without an owner read the owner's row, and take the domain
// over if the row was unchanged for long enough.
func (s *ownerSim) watchRow(i int, h *simHost) {
	if !h.reachesStore(s.now) || !s.storeUp() {
		h.seenSince = time.Time{}
		return
	}
	if h.seenSince.IsZero() || h.seenVersion != s.store.version {
		h.seenVersion, h.seenSince = s.store.version, s.now
	}
	unchanged := s.now.Sub(h.seenSince) >= takeoverAfter+time.Duration(i)*takeoverStep
	if (s.store.version == 0 || unchanged || s.chance(earlyTakeover)) && !h.acquiring && s.mayLead(h) {
		s.acquire(h)
	}
}

// newRecord returns the owner's row with which a host takes the domain over, as
// election.Acquire does.
func newRecord(h *simHost, previous election.Record, unchanged time.Duration) election.Record {
	return election.Successor(&previous, election.Record{Host: h.name, Address: h.name, Incarnation: h.id()}, unchanged)
}

// acquire commits a host's ownership on the condition that the owner's row is
// unchanged. Its answer may be lost.
func (s *ownerSim) acquire(h *simHost) {
	previous, version := s.store.row, s.store.version
	record := newRecord(h, previous, s.now.Sub(h.seenSince))
	begun := s.now
	h.acquiring = true
	answer := func(applied bool) {
		h.acquiring = false
		if applied {
			s.lead(h, record, previous, version+1, begun)
		}
	}
	s.after(s.between(0, 2*testTick), func() {
		applied := h.reachesStore(s.now) && s.storeUp() && s.store.version == version
		if applied {
			s.store.row = record
			s.store.version++
			s.tracef(workload.TaskID{}, "%s acquires epoch %d", h.name, record.Epoch)
		}
		lost := s.chance(lostCommitAnswer)
		s.after(s.between(0, 2*testTick), s.onHost(h, func() { answer(applied && !lost) }))
	})
}
