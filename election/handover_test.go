package election_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
)

// TestShouldSkipLoad guards against a weak host that loads a large domain for longer than
// leases last while a strong host is available, and against hosts that pass the domain
// on for ever.
func TestShouldSkipLoad(t *testing.T) {
	weak := election.HandoverState{Cores: 0.2, BestCores: 0.8}
	for _, c := range []struct {
		name   string
		change func(*election.HandoverState)
		want   bool
	}{
		{"a strong host is available", func(*election.HandoverState) {}, true},
		{"no strong host has pinged", func(s *election.HandoverState) { s.BestCores = 0.2 }, false},
		{"the owner's processors are unknown", func(s *election.HandoverState) { s.Cores = 0 }, false},
		{"the table service is unavailable", func(s *election.HandoverState) { s.CommitAge = time.Second }, false},
		{"the strong host didn't accept the domain", func(s *election.HandoverState) { s.PredecessorHandedOver = true }, false},
	} {
		s := weak
		c.change(&s)
		if got := s.ShouldSkipLoad(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestShouldHandOver checks that a weak host hands the domain over only to a
// much stronger one that is stable.
func TestShouldHandOver(t *testing.T) {
	weak := election.HandoverState{Cores: 0.2, BestCores: 0.8, BestSeenFor: 5 * time.Second, OwnedFor: 5 * time.Second}
	for _, c := range []struct {
		name   string
		change func(*election.HandoverState)
		want   bool
	}{
		{"a strong host is available", func(*election.HandoverState) {}, true},
		{"no other host can take it", func(s *election.HandoverState) { s.BestCores = 0 }, false},
		{"hosts have equal processors", func(s *election.HandoverState) { s.BestCores = s.Cores }, false},
		{"the other host is slightly stronger", func(s *election.HandoverState) { s.BestCores = 0.3 }, false},
		{"the owner is the strongest", func(s *election.HandoverState) { s.Cores = 1 }, false},
		{"the owner's processors are unknown", func(s *election.HandoverState) { s.Cores = 0 }, false},
		{"the strong host has just joined", func(s *election.HandoverState) { s.BestSeenFor = 500 * time.Millisecond }, false},
		{"the owner has just taken over", func(s *election.HandoverState) { s.OwnedFor = time.Second }, false},
		{"the table service is unavailable", func(s *election.HandoverState) { s.CommitAge = time.Second }, false},
		{"recent handover not accepted", func(s *election.HandoverState) { s.PredecessorHandedOver = true }, false},
		{"earlier handover not accepted", func(s *election.HandoverState) { s.PredecessorHandedOver, s.OwnedFor = true, time.Minute }, true},
	} {
		s := weak
		c.change(&s)
		if got := s.ShouldHandOver(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
