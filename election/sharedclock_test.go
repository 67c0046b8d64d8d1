package election_test

import (
	"context"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/internal/memtable"
)

// clockedTable is a table that tells its clock, and answers answerTime after that.
type clockedTable struct {
	*memtable.Table
	now        *time.Duration
	answerTime time.Duration
}

// tableClock is what its clock shows when that of the hosts shows 0.
const tableClock = time.Hour

// Commit implements infra.Table.
func (t clockedTable) Commit(ctx context.Context, tx infra.Transaction) infra.CommitResult {
	res := t.Table.Commit(ctx, tx)
	res.Clock = tableClock + *t.now
	*t.now += t.answerTime
	return res
}

// TestReplacedCommitIsKnownFromSharedClock guards against a successor that waits for the leases of
// a lost owner from when it first saw the owner's last commit, up to half a second later, and
// against one that takes that commit for older than it is.
func TestReplacedCommitIsKnownFromSharedClock(t *testing.T) {
	const answerTime, between, ms = 10 * time.Millisecond, 5 * time.Second, time.Millisecond
	now := time.Minute
	table := clockedTable{Table: memtable.New(), now: &now, answerTime: answerTime}
	clock := func() time.Duration { return now }
	acquire := func(host string) *election.Committer {
		previous, version, err := election.Read(t.Context(), table)
		if err != nil {
			t.Fatal(err)
		}
		c, err := election.Acquire(t.Context(), table, election.Record{Host: host, Incarnation: host}, election.Replaced{Record: previous, Version: version}, clock)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	first := acquire("a")
	began := now
	if err := first.Commit(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	previous := first.Record()
	now += between
	at, known := acquire("b").ReplacedCommit(&previous)
	latest := began + 2*answerTime + 2*ms + time.Duration(0.02*float64(between))
	if !known || at < began || at > latest {
		t.Errorf("the last commit began at %v at the latest (known: %v), want from %v to %v", at, known, began, latest)
	}
}

// TestUntoldClockBoundsNothing guards against an age that is taken from rows without a clock, as
// those of earlier releases, or from one that went back.
func TestUntoldClockBoundsNothing(t *testing.T) {
	now := time.Minute
	table := clockedTable{Table: memtable.New(), now: &now}
	clock := func() time.Duration { return now }
	c, err := election.Acquire(t.Context(), table, election.Record{Host: "a", Incarnation: "a"}, election.Replaced{}, clock)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range []election.Record{{}, {Clock: (tableClock + now + time.Second).Milliseconds()}} {
		if at, known := c.ReplacedCommit(&row); known {
			t.Errorf("a row with the clock %d ms tells that the commit began at %v", row.Clock, at)
		}
	}
}

// TestCommittedBeforeShortensLeases guards against a closer bound of a commit that doesn't shorten
// the wait for the leases which rest on it.
func TestCommittedBeforeShortensLeases(t *testing.T) {
	const now, sooner = time.Minute, 500 * time.Millisecond
	first := successorOf(&election.Record{}, "a", 0)
	first.RosterEpochs = true
	second := successorOf(&first, "b", 0)
	e := election.NewEarlierOwners(&second, now)
	e.Stopped(1, now)
	before := leasesOf(e, 1, now)
	e.CommittedBefore(1, now-sooner)
	if got, want := leasesOf(e, 1, now), before-sooner; got != want {
		t.Errorf("leases last %v, want %v", got, want)
	}
	e.CommittedBefore(1, now)
	if got, want := leasesOf(e, 1, now), before-sooner; got != want {
		t.Errorf("after a later bound leases last %v, want %v", got, want)
	}
}
