package control

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/internal/memtable"
)

// TestLatePingObservesRow guards against a takeover that is delayed by a whole ping
// timeout since no host had seen the owner's last commit.
func TestLatePingObservesRow(t *testing.T) {
	table := memtable.New()
	n := newTestNode(table)
	row := acquireDomain(t, table).Record()
	_, version, err := election.Read(t.Context(), table)
	if err != nil {
		t.Fatal(err)
	}
	before := time.Now().Add(-time.Minute)

	s := suspicion{version: version - 1, since: before}
	n.observeRow(t.Context(), row, &s)
	if s.version != version || !s.since.After(before) {
		t.Errorf("version %d since %v, want %d since the read", s.version, s.since, version)
	}
	s = suspicion{version: version, since: before}
	n.observeRow(t.Context(), row, &s)
	if !s.since.Equal(before) {
		t.Error("a version that was known already counts as new")
	}
	other := row
	other.Epoch++
	s = suspicion{}
	n.observeRow(t.Context(), other, &s)
	if s.version != 0 {
		t.Error("the row of another owner counts as that of the owner that was pinged")
	}
}

// TestNextPollMeetsTakeover guards against a takeover that waits for the next poll of the
// row although its time has come.
func TestNextPollMeetsTakeover(t *testing.T) {
	now := time.Unix(100, 0)
	for left, want := range map[time.Duration]time.Duration{
		40 * time.Millisecond: 40 * time.Millisecond, time.Second: rowPollInterval, -time.Second: rowPollInterval,
	} {
		s := suspicion{takeoverAt: now.Add(left)}
		if got := s.nextPoll(now); got != want {
			t.Errorf("takeover in %v: next poll in %v, want %v", left, got, want)
		}
	}
	if got := (&suspicion{}).nextPoll(now); got != rowPollInterval {
		t.Errorf("takeover time unknown: next poll in %v, want %v", got, rowPollInterval)
	}
}
