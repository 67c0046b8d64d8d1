package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenarios["lasting-waits"] = lastingWaits }

// lastingWaits: jobs come that can never run anywhere, as no minion has the label that they need.
// A lasting task that comes after them has to run all the same: all minions are idle.
func lastingWaits(w *world, trouble bool) (string, error) {
	if err := w.site(3, 16, 3); err != nil {
		return "", err
	}
	if trouble {
		for i := range 6 {
			hopeless := &job{ID: fmt.Sprintf("00000000000000b%d", i), Steps: []step{{
				Count: 16, CPU: 13000, MemMB: 13000, EstimateMS: 1000, Label: "no-minion-has-it", work: time.Second,
			}}}
			if err := w.submit(hopeless); err != nil {
				return "", err
			}
		}
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
