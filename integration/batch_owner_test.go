package integration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/standin"
)

// TestOwnerKilledAtStarts ends owners of workers at random moments while jobs
// start: a successor replays what was durable. Every acknowledged job ends
// done, once, and none runs in two places.
func TestOwnerKilledAtStarts(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := batchSite(t)
			rng := rand.New(rand.NewPCG(seed, 0))
			// A slow store leaves time between a start and its commit.
			s.TableFaults(standin.Faults{DelayMS: 25})
			l := s.startJobs(seed, [2]int64{100, 1200})
			const kills = 4
			for range kills {
				l.await(10 + rng.IntN(20))
				pause(time.Duration(rng.IntN(200)) * time.Millisecond)
				dead := s.owner(rng)
				s.Kill(dead)
				if rng.IntN(2) == 0 {
					s.Until("workers have owners", s.workersOwned)
				}
				l.await(5)
				s.Restart(dead)
			}
			l.finish()
			s.Check()
		})
	}
}

// TestOwnerPausedPastItsSession stops an owner of workers until others have
// taken over, and lets it go on among them. Its late words must change
// nothing.
func TestOwnerPausedPastItsSession(t *testing.T) {
	t.Parallel()
	s := batchSite(t)
	rng := rand.New(rand.NewPCG(7, 0))
	l := s.startJobs(7, [2]int64{100, 1200})
	for range 3 {
		l.await(15)
		late := s.owner(rng)
		s.Pause(late)
		s.Until("workers have owners", s.workersOwned)
		l.await(15)
		s.Resume(late)
		l.await(5)
	}
	l.finish()
	s.WaitHeld()
	s.Check()
}

// owner draws one of the hosts that own workers.
func (s *Site) owner(rng *rand.Rand) *Host {
	s.t.Helper()
	var owners []*Host
	s.Until("an owner of workers", func() bool {
		owners = nil
		for _, h := range s.Hosts {
			if s.HeldBy(h, "wk/") > 0 {
				owners = append(owners, h)
			}
		}
		return len(owners) > 0
	})
	return owners[rng.IntN(len(owners))]
}

// workersOwned reports whether the hosts that are up hold all workers' shards.
func (s *Site) workersOwned() bool {
	n := 0
	for _, h := range s.Hosts {
		n += s.HeldBy(h, "wk/")
	}
	return n == s.shards()-s.endpointShards()
}
