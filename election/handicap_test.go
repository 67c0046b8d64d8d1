package election_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
)

// TestHandicap has weaker hosts wait longer, and nobody where all are alike.
func TestHandicap(t *testing.T) {
	strong := &election.Record{Host: "a", Cores: 0.8}
	for _, c := range []struct {
		name   string
		before *election.Record
		cores  float64
		want   time.Duration
	}{
		{"first owner, a whole processor", &election.Record{}, 1, 0},
		{"first owner, half a processor", &election.Record{}, 0.5, 750 * time.Millisecond},
		{"as strong as the owner before", strong, 0.8, 0},
		{"stronger", strong, 2, 0},
		{"a quarter of it", strong, 0.2, 225 * time.Millisecond},
		{"an owner that doesn't say", &election.Record{Host: "a"}, 0.2, 0},
		{"a host that doesn't know", strong, 0, 0},
	} {
		if got := election.TakeoverDelay(c.before, c.cores).Round(time.Millisecond); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestWait has nobody wait for an owner that has resigned, and weaker hosts
// still leave its place to stronger ones.
func TestWait(t *testing.T) {
	const patience = 900 * time.Millisecond
	alive := &election.Record{Host: "a", Cores: 0.8}
	resigned := &election.Record{Host: "a", Cores: 0.8, Resigned: true}
	for _, c := range []struct {
		name   string
		before *election.Record
		cores  float64
		want   time.Duration
	}{
		{"as strong as an owner that may live", alive, 0.8, patience},
		{"a quarter of it", alive, 0.2, patience + 225*time.Millisecond},
		{"as strong as one that resigned", resigned, 0.8, 0},
		{"a quarter of one that resigned", resigned, 0.2, 225 * time.Millisecond},
	} {
		if got := election.AcquireWait(c.before, c.cores, patience).Round(time.Millisecond); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
