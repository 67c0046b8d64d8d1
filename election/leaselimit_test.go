package election_test

import (
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
)

// successorOf returns the row with which host replaces the owner of a row that has been
// unchanged for some time.
func successorOf(previous *election.Record, host string, unchanged time.Duration) election.Record {
	return election.Successor(previous, election.Record{Host: host, Address: host, Incarnation: host}, unchanged)
}

// leasesOf returns for how long leases of the owner of an epoch may last, -1 if it isn't listed
// and 0 if it isn't known.
func leasesOf(e *election.EarlierOwners, epoch uint64, now time.Duration) time.Duration {
	for _, o := range e.List(now) {
		if o.Epoch == epoch {
			return time.Duration(o.LeasesMS) * time.Millisecond
		}
	}
	return -1
}

// TestLeasesCountFromLastCommit guards against a successor that waits for leases which an owner
// that is gone can't have given, or doesn't wait for those that it can have given: they count
// from its last commit and from when most workers refuse its orders, whichever is later.
func TestLeasesCountFromLastCommit(t *testing.T) {
	// The clocks of two hosts and a worker differ by 2%, and timers are 100 ms late.
	const now, tolerance = time.Minute, 350 * time.Millisecond
	for name, c := range map[string]struct {
		rosterEpochs                bool
		unchanged, refusedAfter     time.Duration
		want                        time.Duration
		limitless, stopped, counted bool
	}{
		"last commit":           {rosterEpochs: true, unchanged: time.Second, want: election.CommitLease - time.Second},
		"first commits":         {unchanged: 0, want: election.FirstCommitLease},
		"majority":              {rosterEpochs: true, unchanged: 5 * time.Second, refusedAfter: time.Second, want: time.Second + election.MajorityLease},
		"stopped":               {rosterEpochs: true, unchanged: time.Second, stopped: true, want: election.CommitLease - time.Second},
		"of an earlier release": {rosterEpochs: true, unchanged: time.Second, limitless: true, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			first := successorOf(&election.Record{}, "a", 0)
			first.RosterEpochs, first.LimitsLeases = c.rosterEpochs, !c.limitless
			second := successorOf(&first, "b", c.unchanged)
			e := election.NewEarlierOwners(&second, now)
			if got := leasesOf(e, 1, now); got != 0 {
				t.Errorf("leases last %v before anything is known, want it unknown", got)
			}
			if c.stopped {
				e.Stopped(1, now)
			} else if !e.ReplacedAtMajority(1, now+c.refusedAfter) {
				t.Error("a majority bounds nothing")
			}
			if got := leasesOf(e, 1, now); got < c.want || got > c.want+tolerance {
				t.Errorf("leases last %v, want %v or slightly more", got, c.want)
			}
			third := second
			third.Earlier = e.List(now)
			next := successorOf(&third, "c", 2*time.Second)
			if got := leasesOf(election.NewEarlierOwners(&next, now), 1, now); c.want > 0 && (got < c.want-2*time.Second || got > c.want-2*time.Second+tolerance) {
				t.Errorf("2 s later, at the next owner, leases last %v, want %v or slightly more", got, c.want-2*time.Second)
			}
			if got := leasesOf(e, 1, now+election.CommitLease+tolerance); c.want > 0 && got != -1 {
				t.Errorf("after all leases it is listed, with %v", got)
			}
		})
	}
}

// TestLeaseLimit checks that an owner's leases rest on its last commit, and on the acceptance of
// most workers if that is later.
func TestLeaseLimit(t *testing.T) {
	const committed = time.Minute
	for _, c := range []struct {
		epochs         bool
		accepted, want time.Duration
	}{
		{true, 0, committed + election.CommitLease},
		{false, 0, committed + election.FirstCommitLease},
		{true, committed + time.Second, committed + election.CommitLease},
		{true, committed + 10*time.Second, committed + 10*time.Second + election.MajorityLease},
	} {
		if got := election.LeaseLimit(committed, c.epochs, c.accepted); got != c.want {
			t.Errorf("accepted at %v, epochs %v: limit %v, want %v", c.accepted, c.epochs, got, c.want)
		}
	}
}

// TestMajorityBoundsOwnersOfOneRoster guards against a wait for an owner that is taken for over
// by a majority of workers that it didn't know: it may have a majority of its own.
func TestMajorityBoundsOwnersOfOneRoster(t *testing.T) {
	first := successorOf(&election.Record{}, "a", 0)
	second := successorOf(&first, "b", 0)
	if got, want := second.BoundByMajority(), []election.MajorityBound{{Epoch: 1}, {Epoch: 2}}; !slices.Equal(got, want) {
		t.Errorf("with the roster of epoch 1: %v, want %v", got, want)
	}
	second.RosterOf = 2
	third := successorOf(&second, "c", 0)
	if got, want := third.BoundByMajority(), []election.MajorityBound{{Epoch: 2}, {Epoch: 3}}; !slices.Equal(got, want) {
		t.Errorf("with the roster of epoch 2: %v, want %v", got, want)
	}
	older := earlierRelease(&third, "d")
	after := successorOf(older, "e", 0)
	if got, want := after.BoundByMajority(), []election.MajorityBound{{Epoch: 5}}; !slices.Equal(got, want) {
		t.Errorf("after an earlier release: %v, want %v", got, want)
	}
}

// TestMajorityBoundsOwnerOfKnownRoster guards against a wait of 25 s for the leases of an owner that is
// gone, as a later one, which has ended too, has changed the roster.
func TestMajorityBoundsOwnerOfKnownRoster(t *testing.T) {
	first := successorOf(&election.Record{}, "a", 0)
	second := successorOf(&first, "b", 0)
	e := election.NewEarlierOwners(&second, 0)
	e.LeftRoster(1, 25)
	e.WorkersRemoved(2)
	e.WorkersRemoved(1)
	second.RosterOf, second.Earlier = 2, e.List(0)
	third := successorOf(&second, "c", 0)
	want := []election.MajorityBound{{Epoch: 1, Workers: 25, Removed: 3}, {Epoch: 2}, {Epoch: 3}}
	if got := third.BoundByMajority(); !slices.Equal(got, want) {
		t.Errorf("bounds %v, want %v", got, want)
	}
}

// TestLeasesOfEarlierReleaseLast guards against a successor of this release that doesn't wait for
// the longer leases of an owner of a release whose rows don't tell its limits.
func TestLeasesOfEarlierReleaseLast(t *testing.T) {
	const now, longLease, tolerance = time.Minute, 6400 * time.Millisecond, 350 * time.Millisecond
	first := successorOf(&election.Record{}, "a", 0)
	first.RosterEpochs, first.Limits = true, nil
	second := successorOf(&first, "b", time.Second)
	e := election.NewEarlierOwners(&second, now)
	e.Stopped(1, now)
	if got, want := leasesOf(e, 1, now), longLease-time.Second; got < want || got > want+tolerance {
		t.Errorf("leases last %v, want %v or slightly more", got, want)
	}
	if got, want := e.List(now)[0].LongestLease(), 6*time.Second; got != want {
		t.Errorf("each lasts %v at most, want %v", got, want)
	}
}

// TestRowTellsLimits guards against limits that a row or the list of earlier owners loses on its way
// to the next owner.
func TestRowTellsLimits(t *testing.T) {
	first := successorOf(&election.Record{}, "a", 0)
	second := successorOf(&first, "b", 0)
	value, err := second.Encode()
	if err != nil {
		t.Fatal(err)
	}
	read, err := election.Decode(value)
	if err != nil {
		t.Fatal(err)
	}
	want := election.LeaseLimits{LeaseMS: election.Lease.Milliseconds(), CommitMS: election.CommitLease.Milliseconds(), MajorityMS: election.MajorityLease.Milliseconds()}
	if read.Limits == nil || *read.Limits != want || read.Earlier[0].Limits == nil || *read.Earlier[0].Limits != want {
		t.Errorf("read limits %v and of the owner before %v, want %v", read.Limits, read.Earlier[0].Limits, want)
	}
}
