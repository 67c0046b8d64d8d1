package integration

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/gen/jobs"
)

// TestCancelRacesStart cancels jobs at random moments about their starts, some
// of them at hosts that don't own them. One that is cancelled at epoch 0 never
// ran; one that is cancelled later ran and runs no more.
func TestCancelRacesStart(t *testing.T) {
	t.Parallel()
	s := batchSite(t)
	var mu sync.Mutex
	cancelled := map[string]int64{}
	var work sync.WaitGroup
	for i := range 4 {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(23, uint64(i)))
			for n := range 40 {
				st := s.cancelOne(rng, fmt.Sprintf("c-%d-%d", i, n))
				if st == nil || st.State != "cancelled" {
					continue
				}
				mu.Lock()
				cancelled[st.ID] = st.Epoch
				mu.Unlock()
			}
		})
	}
	work.Wait()
	s.Until("nothing runs", func() bool {
		records := s.runsOf(func(check.Record) bool { return true })
		return len(records)%2 == 0 && len(s.runsOf(began)) == len(records)/2
	})
	s.checkCancelled(cancelled)
	s.Check()
}

// cancelOne submits a job and cancels it a little later.
func (s *Site) cancelOne(rng *rand.Rand, key string) *jobs.JobStatus {
	runMS := int64(30_000)
	urgent := rng.IntN(2) == 0
	st, err := s.Submit(s.Hosts[rng.IntN(len(s.Hosts))], &jobs.JobSpec{
		Key: key, Team: "rounds", Class: "route-plan", Qos: "batch", RunMs: &runMS, Urgent: &urgent,
		Resources: &jobs.ResourceList{MilliCPU: 1000, MemoryMb: 1000},
	})
	if err != nil {
		s.t.Errorf("submit %s: %v", key, err)
		return nil
	}
	if rng.IntN(2) == 0 {
		pause(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
	again := time.NewTicker(pollInterval)
	defer again.Stop()
	for end := time.Now().Add(Patience); time.Now().Before(end); <-again.C {
		got, err := s.Cancel(s.Hosts[rng.IntN(len(s.Hosts))], st.ID)
		if err == nil && got.State == "cancelled" {
			return got
		}
	}
	s.t.Errorf("%s was never cancelled", key)
	return nil
}

// checkCancelled compares what the cancels were told with the workers'
// records. Both sides of the race must have been met.
func (s *Site) checkCancelled(epochs map[string]int64) {
	s.t.Helper()
	ran := map[string]bool{}
	for _, r := range s.runsOf(began) {
		ran[r.RunBegan.Run.Job] = true
	}
	never := 0
	for id, epoch := range epochs {
		if epoch == 0 {
			never++
		}
		if epoch == 0 && ran[id] {
			s.t.Errorf("job %s was cancelled at epoch 0 and ran", id)
		}
	}
	if never == 0 || never == len(epochs) {
		s.t.Errorf("%d of %d cancels came before the start; the race was not met", never, len(epochs))
	}
	s.t.Logf("%d cancels before the start, %d after", never, len(epochs)-never)
}
