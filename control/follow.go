package control

import (
	"context"
	"hash/fnv"
	"log/slog"
	"time"

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
	n.logSuspicion(&leader, &s)
	n.replace(ctx, s)
}

// replace polls the owner's row until it names another owner or this host has
// taken the domain over.
func (n *Node) replace(ctx context.Context, s suspicion) {
	_, old, _ := n.current()
	rows := newRowReader(n.opts.Table)
	t := time.NewTimer(rowPollInterval)
	defer t.Stop()
	for !n.tryReplace(ctx, old, rows, &s) {
		t.Reset(s.nextPoll(time.Now()))
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
func (n *Node) tryReplace(ctx context.Context, old election.Record, rows *rowReader, s *suspicion) bool {
	if hint, ok := n.newerHint(old); ok {
		n.followOwner(hint)
		return true
	}
	row := rows.read(ctx)
	readAt := time.Now()
	record := row.record
	switch {
	case row.err != nil:
		event.OwnerReadFailed.Log(n.opts.Log, slog.Any("err", row.err))
		if rows.unavailable(row) {
			s.since = time.Time{} // the owner's commits may have failed as well
		}
		n.askPeers(ctx)
		return false
	case n.resume(ctx, row):
		return true
	case record.Host != "" && !record.Resigned && !record.SameOwnership(&old):
		n.followOwner(record)
		return true
	case s.since.IsZero() || row.version != s.version:
		if !s.since.IsZero() && n.ownerAlive(ctx, record) {
			n.setLeader(record, nil)
			return true
		}
		// The version counts from the read, as the ping since then may have taken pingTimeout.
		s.version, s.since = row.version, readAt
		if record.Host == "" {
			s.since = s.since.Add(-suspectTimeout - slowReadFactor*row.took) // no owner to wait for
		}
	}
	s.readTime = row.took
	if n.ownerRecovered(ctx, record, s) {
		n.setLeader(record, nil)
		return true
	}
	wait := election.AcquireWait(&record, n.opts.Cores, n.takeoverTimeout(s)+slowReadFactor*row.took)
	s.takeoverAt = s.since.Add(wait)
	return !time.Now().Before(s.takeoverAt) && n.takeOver(ctx, s, row)
}

// logSuspicion logs why an owner is suspected, and whether its commits are waited for.
func (n *Node) logSuspicion(leader *election.Record, s *suspicion) {
	event.OwnerSuspected.Log(n.opts.Log, slog.String("host", leader.Host), slog.Uint64("epoch", leader.Epoch),
		slog.String("why", s.reason), slog.Uint64("version", s.version), slog.Bool("store_answers", s.commitsLate))
}

// ownerRecovered asks a live owner whose commits were late about them, and reports whether
// they no longer are. It updates s.
func (n *Node) ownerRecovered(ctx context.Context, record election.Record, s *suspicion) bool {
	if s.reason != election.ReasonCommitsFail || time.Since(s.askedAt) < pingInterval {
		return false
	}
	waited := s.commitsLate
	r, res := n.ping(ctx, record)
	a := r.status()
	s.askedAt = time.Now()
	switch {
	case res == outcome.Unknown && time.Since(s.answeredAt) < maxUnansweredPings:
		return false
	case res != outcome.Answered:
		s.reason, s.commitsLate = "no answer", false
	default:
		s.reason, _ = a.SuspectReason(&record)
		s.commitsLate, s.answeredAt = a.CommitsLate(&record, s.readTime), time.Now()
	}
	if waited && !s.commitsLate && s.reason != "" {
		n.logSuspicion(&record, s)
	}
	return s.reason == ""
}

// maxUnansweredPings is the time without an answer to pings after which an owner whose
// commits were late counts as one that doesn't answer: two pings, since such an owner is
// also busy.
const maxUnansweredPings = 2 * (pingInterval + pingTimeout)

// followOwner makes the host follow another owner.
func (n *Node) followOwner(r election.Record) {
	n.setLeader(r, nil)
	n.client.Redial(r.Host) // a dial of before its takeover says nothing about it
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
func (n *Node) takeoverTimeout(s *suspicion) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.opts.Host)) // never fails
	jitter := time.Duration(h.Sum32()%jitterSteps) * jitterStep
	switch {
	case s.commitsLate:
		return lateCommitTimeout + jitter
	case s.terminated:
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
