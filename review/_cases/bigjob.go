package main

import (
	"time"
)

func init() { cases["bigjob"] = bigjob }

// bigjob submits one job with 6,600 small lasting tasks, which run on the service's minions at
// once, and then takes one of the 66 minions away for good.
func bigjob(s *site, trouble bool) error {
	const count = 6600
	s.quiet = true
	s.putManifest(3, queue{name: "r-watch", prefix: "/watch1/", attempts: 3}, queue{name: "r-plan", prefix: "/plan01/", attempts: 3})
	if err := s.addMinions(66, 8); err != nil {
		return err
	}
	if err := s.startEdges(3, nil); err != nil {
		return err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return err
	}
	lasting := map[string]bool{}
	s.workOf = func(_ *minion, task string, _ uint64) work {
		if j, _ := s.spec(task); lasting[j.ID] {
			return work{}
		}
		return work{time.Second, "done"}
	}
	big := s.newJob("r-watch", step{Count: count, CPU: 300, MemMB: 300, LongRunning: true})
	lasting[big.ID] = true
	if !s.submit(big, 10*time.Second) {
		return errNotAccepted
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && s.running(big) < count; {
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	s.rec.logf("%d of %d lasting tasks run", s.running(big), count)
	if n := s.running(big); n < count {
		s.rec.fail("LOST", "%d of the %d tasks that last don't run before any disruption", count-n, count)
	}
	if trouble {
		s.minions[20].crash()
	}
	var small []*job
	accepted := 0
	for range 12 {
		j := s.newJob("r-plan", step{Count: 2, CPU: 1000, MemMB: 500, EstimateMS: 1000})
		if s.submit(j, time.Second) {
			accepted++
			small = append(small, j)
		}
		time.Sleep(time.Second)
	}
	s.rec.logf("%d of 12 small jobs were accepted", accepted)
	// 6 s after the last run, 4 s calm and 3 s without a run are over at least 12 s after the crash.
	least := 0
	for end := time.Now().Add(idleFor + calmFor + 6*time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		least = max(least, s.running(big))
	}
	s.rec.logf("%d of %d lasting tasks run, %.0f%% of the processors are free", s.running(big), count, 100*s.freeShare())
	if least < count {
		s.rec.fail("LOST", "for 13 s at the end, over 12 s after the minion was lost, no more than %d of the %d tasks that last run, with %.0f%% of the processors free",
			least, count, 100*s.freeShare())
	}
	s.judgeLost(small, finishFor)
	return nil
}
