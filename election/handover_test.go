package election_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
)

// TestHandsOver moves the domain from a weak host to a clearly stronger one
// that is there for good, and at no other time.
func TestHandsOver(t *testing.T) {
	weak := election.Standing{Cores: 0.2, Best: 0.8, BestFor: 5 * time.Second, Owned: 5 * time.Second}
	for _, c := range []struct {
		name   string
		change func(*election.Standing)
		want   bool
	}{
		{"a strong host is there", func(*election.Standing) {}, true},
		{"no other host can take it", func(s *election.Standing) { s.Best = 0 }, false},
		{"hosts are alike", func(s *election.Standing) { s.Best = s.Cores }, false},
		{"the other is a little stronger", func(s *election.Standing) { s.Best = 0.3 }, false},
		{"the owner is the strongest", func(s *election.Standing) { s.Cores = 1 }, false},
		{"the owner's processors are unknown", func(s *election.Standing) { s.Cores = 0 }, false},
		{"the strong host has just come", func(s *election.Standing) { s.BestFor = 500 * time.Millisecond }, false},
		{"the owner has just taken over", func(s *election.Standing) { s.Owned = time.Second }, false},
		{"the store is away", func(s *election.Standing) { s.CommitAge = time.Second }, false},
		{"nobody strong took it lately", func(s *election.Standing) { s.Missed = true }, false},
		{"nobody strong took it long ago", func(s *election.Standing) { s.Missed, s.Owned = true, time.Minute }, true},
	} {
		s := weak
		c.change(&s)
		if got := s.HandsOver(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
