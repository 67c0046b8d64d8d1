package election_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
)

// TestAdvisoryLock guards against two hosts that try to acquire a domain at the same
// time, and against a host that keeps all others from it.
func TestAdvisoryLock(t *testing.T) {
	type step struct {
		atMS    int
		host    string
		version uint64
		release bool
		want    bool
	}
	for name, steps := range map[string][]step{
		"one at a time":                       {{0, "a", 5, false, true}, {1, "b", 5, false, false}, {300, "a", 5, false, true}, {1200, "b", 5, false, false}},
		"a holder that is gone":               {{0, "a", 5, false, true}, {999, "b", 5, false, false}, {1000, "b", 5, false, true}, {1001, "a", 5, false, false}},
		"a holder that gives it up":           {{0, "a", 5, false, true}, {10, "a", 5, true, false}, {11, "b", 5, false, true}},
		"only the holder gives it up":         {{0, "a", 5, false, true}, {10, "b", 5, true, false}, {11, "b", 5, false, false}},
		"a newer row":                         {{0, "a", 5, false, true}, {10, "b", 6, false, true}, {11, "a", 5, false, false}, {12, "a", 6, false, false}},
		"versions start anew once it is free": {{0, "a", 50, false, true}, {1000, "b", 5, false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			var l election.AdvisoryLock
			for _, s := range steps {
				now := time.Hour + time.Duration(s.atMS)*time.Millisecond
				if got := l.Handle(election.LockRequest{Incarnation: s.host, Version: s.version, Release: s.release}, now); got != s.want {
					t.Errorf("after %d ms, %s for version %d: %v, want %v", s.atMS, s.host, s.version, got, s.want)
				}
			}
		})
	}
}

// TestAdvisoryLockPassesOn guards against a host that can read the row but not write it,
// and renews the lock for good.
func TestAdvisoryLockPassesOn(t *testing.T) {
	var l election.AdvisoryLock
	const limit = 11 * time.Second
	for now := time.Hour; now < time.Hour+limit; now += election.LockRenewInterval {
		l.Handle(election.LockRequest{Incarnation: "a", Version: 1}, now)
		if l.Handle(election.LockRequest{Incarnation: "b", Version: 1}, now+time.Millisecond) {
			return
		}
	}
	t.Errorf("the lock isn't passed on within %v", limit)
}
