package main

import (
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["copies"] = copies }

// copies runs a job of speculative tasks that take longer than their rough estimate, so that
// copies start. One copy fails by its own fault, once, and the owner's process is killed as
// the minion lists that end. Later the client cancels the job.
func copies(s *site, trouble bool) error {
	const (
		contact, cancelTime, stopBound = 3 * time.Second, 3 * time.Second, 200 * time.Millisecond
		runs                           = 60 * time.Second
	)
	s.putManifest(3, queue{name: "r-plan", prefix: "/plan01/", attempts: 3})
	if err := s.addMinions(16, 4); err != nil {
		return err
	}
	if err := s.startEdges(3, nil); err != nil {
		return err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return err
	}
	var mu sync.Mutex
	runsOf, failing := map[string][]uint64{}, map[string]uint64{}
	s.workOf = func(_ *minion, task string, run uint64) work {
		mu.Lock()
		defer mu.Unlock()
		runsOf[task] = append(runsOf[task], run)
		if len(runsOf[task]) == 2 {
			failing[task] = run
			return work{1500 * time.Millisecond, "failed"}
		}
		return work{runs, "done"}
	}
	var once sync.Once
	killed := make(chan struct{})
	s.listed = func(m *minion, e end) {
		mu.Lock()
		fails := failing[e.task] == e.number && e.how == "failed"
		mu.Unlock()
		if !fails {
			return
		}
		once.Do(func() {
			s.rec.logf("minion %s has told of the failed copy %s run %d", m.id, e.task, e.number)
			if d, err := time.ParseDuration(os.Getenv("KILL_AFTER")); err == nil {
				time.Sleep(d) // to measure how long the fault may strike
			}
			o := s.owner()
			if trouble && o != nil {
				s.rec.logf("process of %s, which wrote last to the store under a condition, is killed", o.name)
				_ = o.cmd.Process.Signal(syscall.SIGKILL)
				go func() {
					<-o.ended
					time.Sleep(time.Second)
					if err := s.startEdge(o); err != nil {
						s.rec.logf("restart: %v", err)
					}
				}()
			}
			close(killed)
		})
	}
	j := s.newJob("r-plan", step{Count: 8, CPU: 4000, MemMB: 4000, EstimateMS: 6000, Speculative: true, AntiAffinity: 1})
	if !s.submit(j, 10*time.Second) {
		return errNotAccepted
	}
	select {
	case <-killed:
	case <-time.After(60 * time.Second):
		s.rec.logf("no copy failed within 60 s")
		return errNoCopy
	}
	time.Sleep(2*contact + 2*time.Second)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(300 * time.Millisecond) {
		if status, _ := s.call(http.MethodDelete, j.Queue, j.ID, nil); status/100 == 2 || status == http.StatusGone {
			break
		}
		if time.Now().After(deadline) {
			return errNotCancelled
		}
	}
	s.rec.logf("the cancelling is acknowledged")
	time.Sleep(cancelTime + stopBound + 300*time.Millisecond)
	var left []string
	for _, m := range s.minions {
		for _, task := range m.running(j.ID) {
			left = append(left, task+" on "+m.id)
		}
	}
	if len(left) > 0 {
		s.rec.fail("UNASKED", "3.5 s after the cancelling of job %s was acknowledged, these run on: %s", j.ID, strings.Join(left, ", "))
	}
	time.Sleep(8 * time.Second)
	for _, m := range s.minions {
		for _, task := range m.running(j.ID) {
			s.rec.logf("%s still runs on %s 12 s after the acknowledgement", task, m.id)
		}
	}
	return nil
}
