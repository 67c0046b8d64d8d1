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

// TestCancelRacesStart cancels more jobs than the workers have capacity for, in
// random order. Each cancelled run frees capacity for another job, whose start
// races with its own cancel. A job cancelled at epoch 0 must never have run.
func TestCancelRacesStart(t *testing.T) {
	t.Parallel()
	s := batchSite(t)
	const rounds, submitters, each = 2, 4, 20
	epochs := map[string]int64{}
	for round := range rounds {
		ids := s.submitMany(submitters, each, round)
		s.WaitUntil("some jobs run", func() bool { return s.runningCount() > 0 })
		for id, epoch := range s.cancelAll(ids, uint64(round)) {
			epochs[id] = epoch
		}
	}
	s.WaitUntil("nothing runs", func() bool { return s.runningCount() == 0 })
	s.checkCancelled(epochs)
	s.Check()
}

// runningCount returns the number of runs that have started and not ended.
func (s *Site) runningCount() int {
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

// submitMany submits long-running jobs concurrently, each of about a third of a
// worker, and returns their IDs.
func (s *Site) submitMany(submitters, each, round int) []string {
	s.t.Helper()
	ids := make([]string, submitters*each)
	runMS := int64(60_000)
	var submissions sync.WaitGroup
	for i := range submitters {
		submissions.Go(func() {
			for n := range each {
				st, err := s.Submit(s.Hosts[(i+n)%len(s.Hosts)], &jobs.JobSpec{
					Key: fmt.Sprintf("c-%d-%d-%d", round, i, n), Team: "rounds", Class: "route-plan", Qos: "batch", RunMs: &runMS,
					Resources: &jobs.ResourceList{MilliCPU: 20_000, MemoryMb: 1000},
				})
				if err != nil {
					s.t.Errorf("submit job: %v", err)
					continue
				}
				ids[i*each+n] = st.ID
			}
		})
	}
	submissions.Wait()
	return ids
}

// cancelAll shuffles ids, cancels the jobs concurrently and returns the epoch at
// which each was cancelled.
func (s *Site) cancelAll(ids []string, seed uint64) map[string]int64 {
	rng := rand.New(rand.NewPCG(23, seed))
	rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var mu sync.Mutex
	epochs := map[string]int64{}
	var work sync.WaitGroup
	const concurrency = 4
	for offset := range concurrency {
		work.Go(func() {
			for i := offset; i < len(ids); i += concurrency {
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

// cancelOne retries the cancel of a job, at one host after another, until it is
// confirmed. After ConditionTimeout it fails the test and returns nil.
func (s *Site) cancelOne(id string, firstHost int) *jobs.JobStatus {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for n, end := firstHost, time.Now().Add(ConditionTimeout); time.Now().Before(end); n++ {
		got, err := s.Cancel(s.Hosts[n%len(s.Hosts)], id)
		if err == nil && got.State == "cancelled" {
			return got
		}
		<-ticker.C
	}
	s.t.Errorf("cancel of job %s was not confirmed in time", id)
	return nil
}

// checkCancelled compares the epochs that the cancels returned with the workers'
// records. Some cancels must have come before the start and some after it.
func (s *Site) checkCancelled(epochs map[string]int64) {
	s.t.Helper()
	ran := map[string]bool{}
	for _, r := range s.runsOf(runBegan) {
		ran[r.RunBegan.Run.Job] = true
	}
	neverStarted := 0
	for id, epoch := range epochs {
		if epoch == 0 {
			neverStarted++
		}
		if epoch == 0 && ran[id] {
			s.t.Errorf("job %s was cancelled at epoch 0 but ran", id)
		}
	}
	if neverStarted == 0 || neverStarted == len(epochs) {
		s.t.Errorf("%d of %d cancels came before the start, want some but not all", neverStarted, len(epochs))
	}
	s.t.Logf("%d cancels before the start, %d after", neverStarted, len(epochs)-neverStarted)
}
