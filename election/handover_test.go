package election_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
)

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
