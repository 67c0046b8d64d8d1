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

// TestCancelRacesStart submits more jobs than fit, and cancels all in random
// order at random hosts: each cancel of a run makes room, for jobs that are
// being cancelled at that moment. One that is cancelled at epoch 0 never ran.
func TestCancelRacesStart(t *testing.T) {
	t.Parallel()
	s := batchSite(t)
	const rounds, submitters, each = 2, 4, 20
	epochs := map[string]int64{}
	for round := range rounds {
		ids := s.submitMany(submitters, each, round)
		s.WaitUntil("some run", func() bool { return s.running() > 0 })
		for id, epoch := range s.cancelAll(ids, uint64(round)) {
			epochs[id] = epoch
		}
	}
	s.WaitUntil("nothing runs", func() bool { return s.running() == 0 })
	s.checkCancelled(epochs)
	s.Check()
}

// running counts the runs that have begun and not ended.
func (s *Site) running() int {
	n := 0
	for _, r := range s.runsOf(func(check.Record) bool { return true }) {
		if r.RunBegan != nil {
			n++
		} else {
			n--
		}
	}
	return n
}

// submitMany submits long jobs of which a worker holds three.
func (s *Site) submitMany(submitters, each, round int) []string {
	s.t.Helper()
	ids := make([]string, submitters*each)
	runMS := int64(60_000)
	var work sync.WaitGroup
	for i := range submitters {
		work.Go(func() {
			for n := range each {
				st, err := s.Submit(s.Hosts[(i+n)%len(s.Hosts)], &jobs.JobSpec{
					Key: fmt.Sprintf("c-%d-%d-%d", round, i, n), Team: "rounds", Class: "route-plan", Qos: "batch", RunMs: &runMS,
					Resources: &jobs.ResourceList{MilliCPU: 20_000, MemoryMb: 1000},
				})
				if err != nil {
					s.t.Errorf("submit: %v", err)
					continue
				}
				ids[i*each+n] = st.ID
			}
		})
	}
	work.Wait()
	return ids
}

// cancelAll cancels jobs, several at once, and returns the epoch at which each
// was.
func (s *Site) cancelAll(ids []string, seed uint64) map[string]int64 {
	rng := rand.New(rand.NewPCG(23, seed))
	rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var mu sync.Mutex
	epochs := map[string]int64{}
	var work sync.WaitGroup
	const lanes = 4
	for lane := range lanes {
		work.Go(func() {
			for i := lane; i < len(ids); i += lanes {
				if st := s.cancelOne(ids[i], i); st != nil {
					mu.Lock()
					epochs[st.ID] = st.Epoch
					mu.Unlock()
				}
			}
		})
	}
	work.Wait()
	return epochs
}

// cancelOne cancels a job until that is answered.
func (s *Site) cancelOne(id string, first int) *jobs.JobStatus {
	again := time.NewTicker(pollInterval)
	defer again.Stop()
	for n, end := first, time.Now().Add(ConditionTimeout); time.Now().Before(end); n++ {
		got, err := s.Cancel(s.Hosts[n%len(s.Hosts)], id)
		if err == nil && got.State == "cancelled" {
			return got
		}
		<-again.C
	}
	s.t.Errorf("%s was never cancelled", id)
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
