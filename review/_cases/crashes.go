package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["crashes"] = crashes }

// crashes crashes one of eight minions, drawn by a fixed seed, each second for 40 s. Each is
// back half a second later under another ID. The tasks never fail.
func crashes(s *site, trouble bool) error {
	s.putManifest(3, queue{name: "r-plan", prefix: "/plan01/", attempts: 3})
	if err := s.addMinions(8, 4); err != nil {
		return err
	}
	if err := s.startEdges(3, nil); err != nil {
		return err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return err
	}
	s.workOf = func(*minion, string, uint64) work { return work{6 * time.Second, "done"} }
	random := rand.New(rand.NewPCG(1, 1))
	var jobs []*job
	failed := map[*job]bool{}
	for i := range 40 {
		if i%4 == 0 && i < 24 {
			j := s.newJob("r-plan", step{Count: 16, CPU: 4000, MemMB: 4000, EstimateMS: 6000})
			jobs = append(jobs, j)
			if !s.submit(j, 10*time.Second) {
				return errNotAccepted
			}
		}
		begun := time.Now()
		if trouble {
			m := s.minions[random.IntN(len(s.minions))]
			m.crash()
			time.Sleep(500 * time.Millisecond)
			if err := m.begin(fmt.Sprintf("%s%c", m.id[:10], 'a'+m.life%26)); err != nil {
				return err
			}
		}
		for _, j := range jobs {
			if failed[j] {
				continue
			}
			if _, state := s.state(j); state == "failed" && j.failedRuns() < maxAttempts {
				failed[j] = true
				s.rec.fail("LOST", "job %s is shown as failed; the most failed runs of one of its tasks are %d, max_attempts is 3", j.ID, j.failedRuns())
			}
		}
		time.Sleep(time.Second - time.Since(begun))
	}
	var rest []*job
	for _, j := range jobs {
		if !failed[j] {
			rest = append(rest, j)
		}
	}
	s.judgeLost(rest, 40*time.Second)
	return nil
}
