package election_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
)

// TestTakeoverDelay checks that only hosts with fewer processors than the
// previous owner recorded wait longer.
func TestTakeoverDelay(t *testing.T) {
	strong := &election.Record{Host: "a", Cores: 0.8}
	for _, c := range []struct {
		name     string
		previous *election.Record
		cores    float64
		want     time.Duration
	}{
		{"first owner, a whole processor", &election.Record{}, 1, 0},
		{"first owner, half a processor", &election.Record{}, 0.5, 750 * time.Millisecond},
		{"as many as the previous owner", strong, 0.8, 0},
		{"more than the previous owner", strong, 2, 0},
		{"a quarter of the reference", strong, 0.2, 1125 * time.Millisecond},
		{"previous owner's processors unknown", &election.Record{Host: "a"}, 0.2, 0},
		{"own processors unknown", strong, 0, 0},
	} {
		if got := election.TakeoverDelay(c.previous, c.cores).Round(time.Millisecond); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestAcquireWait checks that a resigned owner isn't waited for, while weaker
// hosts still leave the domain to stronger ones.
func TestAcquireWait(t *testing.T) {
	const timeout = 900 * time.Millisecond
	alive := &election.Record{Host: "a", Cores: 0.8}
	resigned := &election.Record{Host: "a", Cores: 0.8, Resigned: true}
	for _, c := range []struct {
		name     string
		previous *election.Record
		cores    float64
		want     time.Duration
	}{
		{"as many as an owner that may be alive", alive, 0.8, timeout},
		{"a quarter of the processors of such an owner", alive, 0.2, timeout + 1125*time.Millisecond},
		{"as many as a resigned owner", resigned, 0.8, 0},
		{"a quarter of a resigned owner's", resigned, 0.2, 1125 * time.Millisecond},
	} {
		if got := election.AcquireWait(c.previous, c.cores, timeout).Round(time.Millisecond); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
