package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenarios["lasting-waits"] = lastingWaits }

// Jobs of one class come at the rate of the site; of each 21 one can never be done, a share of
// 0.048.
const (
	every       = 180 * time.Millisecond // 5.54 a second
	messages    = 42
	oneHopeless = 21
)

// lastingWaits: among the jobs of a class are some that can never run anywhere, as no minion has
// the label that they need. A lasting task that comes after them has to run all the same: all
// minions are idle.
func lastingWaits(w *world, trouble bool) (string, error) {
	if err := w.site(3, 16, 3); err != nil {
		return "", err
	}
	for i := range messages {
		j := &job{ID: fmt.Sprintf("000000000000b%03d", i), Steps: []step{{Count: 1, CPU: 7000, MemMB: 13000, EstimateMS: 500, work: 500 * time.Millisecond}}}
		if i%oneHopeless == oneHopeless-1 {
			if !trouble {
				continue
			}
			j.Steps[0] = step{Count: 32, CPU: 14000, MemMB: 13000, EstimateMS: 1000, Label: "no-minion-has-it", work: time.Second}
		}
		if err := w.submit(j); err != nil {
			return "", err
		}
		time.Sleep(every)
	}
	time.Sleep(5 * time.Second)
	lasting := &job{ID: "00000000000000bf", Steps: []step{{
		Count: 1, CPU: 13000, MemMB: 26000, EstimateMS: 300, LongRunning: true, work: 300 * time.Millisecond,
	}}}
	if err := w.submit(lasting); err != nil {
		return "", err
	}
	accepted := w.now()
	if w.state(lasting) == "" {
		return "", errors.New("no state is told")
	}
	runs := func() bool { return w.running(lasting.ID+".0.0.0") > 0 }
	if !await(40*time.Second, runs) {
		w.state(lasting)
		return fmt.Sprintf("LOST: the lasting task has no run %v after its job was accepted, and all minions are idle", (w.now() - accepted).Round(time.Second)), nil
	}
	stood := w.now() - accepted
	w.note("the task runs %v after its job was accepted", stood.Round(time.Millisecond))
	if stood > 9*time.Second {
		return fmt.Sprintf("LOST: the lasting task stands for %v, of which 3 s after 6 s and in calm", stood.Round(time.Millisecond)), nil
	}
	return "", nil
}
