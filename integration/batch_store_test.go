package integration

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/gen/jobs"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/standin"
)

// TestRunsContinueWithoutStore takes the store down for longer than a session and
// a task lease. Runs must continue, since the owners renew their leases at the
// workers; none may be stopped or restarted.
func TestRunsContinueWithoutStore(t *testing.T) {
	t.Parallel()
	s := batchSite(t)
	ids := map[string]bool{}
	runMS := int64(9000)
	for _, key := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
		st, err := s.Submit(s.Hosts[len(ids)%len(s.Hosts)], &jobs.JobSpec{
			Key: key, Team: "rounds", Class: "route-plan", Qos: "batch", RunMs: &runMS,
			Resources: &jobs.ResourceList{MilliCPU: 8000, MemoryMb: 20_000},
		})
		s.must(err)
		ids[st.ID] = true
	}
	s.WaitUntil("all run", func() bool { return len(s.runsOf(runBegan)) == len(ids) })
	s.TableFaults(standin.Faults{Down: true})
	settings := s.Hosts[0].settings
	sleep(max(settings.Lease.Session.D(), settings.Lease.TaskLease.D()) + 2*time.Second)
	if interrupted := s.runsOf(runCutShort); len(interrupted) > 0 {
		t.Errorf("%d of %d runs were cut short while the store was down, such as %+v", len(interrupted), len(ids), *interrupted[0].RunEnded)
	}
	s.TableFaults(standin.Faults{})
	n := len(ids)
	s.untilDone(ids)
	if got := len(s.runsOf(runBegan)); got != n {
		t.Errorf("%d runs of %d jobs, want one each", got, n)
	}
	s.Check()
}

func runBegan(r check.Record) bool { return r.RunBegan != nil }

// runCutShort matches runs that ended before they were done.
func runCutShort(r check.Record) bool {
	return r.RunEnded != nil && r.RunEnded.State != infra.RunDone
}

// TestJobsWithLostStoreAnswers loses responses of the store to writes that took
// effect. Owners must find out the outcome of each commit before they repeat it.
func TestJobsWithLostStoreAnswers(t *testing.T) {
	t.Parallel()
	s := batchSite(t)
	l := s.startJobs(19, smallJobs([2]int64{100, 800}))
	l.awaitJobs(10)
	s.TableFaults(standin.Faults{LoseShare: 0.3, Seed: 19})
	l.awaitJobs(120)
	s.TableFaults(standin.Faults{})
	l.finish()
	s.WaitShardsHeld()
	s.Check()
}
