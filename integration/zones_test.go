package integration

import (
	"math/rand/v2"
	"os/exec"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/check"
)

// TestZoneClosed closes an availability zone under load by the operators' command, right
// before the store goes down. Meanwhile an owner is killed and started again. No run and
// no request may begin in the zone, jobs must go on elsewhere, and the zone must be used
// again once it is open.
func TestZoneClosed(t *testing.T) {
	t.Parallel()
	s := batchSite(t)
	const closedZone = "longuelo"
	s.untilVersion(s.change(s.Hosts[0], 0, 301).Version, s.Hosts)
	l := s.startJobs(41, smallJobs([2]int64{100, 800}))
	tr := s.StartCallers(TrafficOptions{Rate: 40})
	s.WaitUntil("runs in the zone", func() bool { return s.runsBegunIn(closedZone) > 0 })
	s.zoneCommand(s.Hosts[1], "close", closedZone)
	s.Recorder.Add(check.Record{ZoneClosed: &check.ZoneClosed{Zone: closedZone}})
	closedAt := time.Now()
	s.setStoreDown(true)
	s.untilZonesClosed(1)
	s.setStoreDown(false)
	killed := s.Hosts[2]
	s.Kill(killed)
	s.WaitUntil("workers have owners", s.workersOwnedWithout(killed))
	s.Restart(killed)
	s.WaitShardsHeld()
	s.WaitUntil("the grace period is over", func() bool { return time.Since(closedAt) > check.DefaultLimits().ZoneGrace })
	l.submitIn(closedZone)
	l.awaitJobs(40)
	tr.Await("requests with the zone closed", 40, Answered)
	s.untilZonesClosed(1)
	before := s.runsBegunIn(closedZone)
	s.Recorder.Add(check.Record{ZoneOpened: &check.ZoneOpened{Zone: closedZone}})
	s.zoneCommand(s.Hosts[0], "open", closedZone)
	s.WaitUntil("runs in the opened zone", func() bool { return s.runsBegunIn(closedZone) > before })
	tr.Stop()
	l.finish()
	s.Check()
}

// zoneCommand runs "fireflygate zone" and fails the test unless it succeeds.
func (s *Site) zoneCommand(h *Host, verb, zone string) {
	s.t.Helper()
	out, err := exec.Command(s.programs.Gate, "zone", "-to", h.OperatorsURL, verb, zone).CombinedOutput()
	if err != nil {
		s.t.Fatalf("zone %s %s: %v\n%s", verb, zone, err, out)
	}
}

// submitIn submits a job that may only run in a zone.
func (l *jobLoad) submitIn(zone string) {
	l.site.t.Helper()
	spec := l.spec(rand.New(rand.NewPCG(1, 0)), "job-in-"+zone)
	spec.Zones = []string{zone}
	l.submit(rand.New(rand.NewPCG(1, 0)), spec)
}

// untilZonesClosed waits until all hosts report that n zones are closed.
func (s *Site) untilZonesClosed(n int) {
	s.t.Helper()
	s.WaitUntil("all hosts know the closed zones", func() bool {
		for _, h := range s.Hosts {
			if status, err := h.Status(); err != nil || len(status.ClosedZones) != n {
				return false
			}
		}
		return true
	})
}

// runsBegunIn returns the number of runs that workers of a zone have begun.
func (s *Site) runsBegunIn(zone string) int {
	return len(s.runsOf(func(r check.Record) bool { return r.RunBegan != nil && r.RunBegan.Zone == zone }))
}
