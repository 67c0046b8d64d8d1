package election_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/internal/memtable"
)

// TestReferenceCores guards against weak hosts that follow each other without a delay
// because the row of the first of them hides that there are strong hosts.
func TestReferenceCores(t *testing.T) {
	for _, c := range []struct {
		name                      string
		own, strongest, inherited float64
		ownedFor                  time.Duration
		want                      float64
	}{
		{"no strong host has pinged yet", 0.2, 0, 0.8, time.Second, 0.8},
		{"only weak hosts have pinged yet", 0.2, 0.3, 0.8, 4 * time.Second, 0.8},
		{"the strong hosts are gone", 0.2, 0.3, 0.8, 6 * time.Second, 0.3},
		{"a strong host is available", 0.2, 0.8, 0.2, 6 * time.Second, 0.8},
		{"first owner", 0.2, 0, 0, 0, 0.2},
	} {
		if got := election.ReferenceCores(c.own, c.strongest, c.inherited, c.ownedFor); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestReferenceOutlivesWeakOwner checks the rows of a strong owner and of two weak ones
// that end before their first commit: the second of them, and a strong host, must find
// the reference of the first owner.
func TestReferenceOutlivesWeakOwner(t *testing.T) {
	table := memtable.New()
	for i, cores := range []float64{0.8, 0.2, 0.2} {
		previous, version, err := election.Read(t.Context(), table)
		if err != nil {
			t.Fatal(err)
		}
		if i > 0 && previous.Cores != 0.8 {
			t.Errorf("takeover %d: reference %v, want 0.8", i, previous.Cores)
		}
		name := string(rune('a' + i))
		if _, err := election.Acquire(t.Context(), table, election.Record{Host: name, Incarnation: name, Cores: cores}, election.Replaced{Record: previous, Version: version}, nil); err != nil {
			t.Fatal(err)
		}
	}
}
