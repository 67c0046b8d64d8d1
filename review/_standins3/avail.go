package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenarios["lasting-stopped"] = lastingStopped }

// Tails of the tasks that serve, in milliseconds, with usual and with many users; their target is
// between. burstTime is how long the many stay.
const (
	usualTail   = 10
	pressedTail = 90
	burstTime   = 4 * time.Second
)

// lastingStopped: many users come at once, so that tails are too long for some seconds. Of a step
// whose tasks last, and fill what the tasks that serve leave, one may be away at a time by the
// system's orders.
func lastingStopped(w *world, trouble bool) (string, error) {
	if err := w.site(3, 12, 3); err != nil {
		return "", err
	}
	w.setTails(usualTail)
	one := 1
	serving := &job{ID: "00000000000000a5", Steps: []step{{
		Count: 12, CPU: 13000, MemMB: 26000, EstimateMS: 300, LongRunning: true, AntiAffinity: 1, Image: "serves", TargetMS: 50, work: 300 * time.Millisecond,
	}}}
	filling := &job{ID: "00000000000000a6", Steps: []step{{
		Count: 6, CPU: 7000, MemMB: 13000, EstimateMS: 300, LongRunning: true, AntiAffinity: 1, Image: "fills", Fill: true, Checkpointing: true,
		Miss: &one, work: 300 * time.Millisecond,
	}}}
	for _, j := range []*job{serving, filling} {
		if err := w.submit(j); err != nil {
			return "", err
		}
		if !await(20*time.Second, func() bool { return w.membersOf(j) == j.Steps[0].Count }) {
			return "", errors.New("the lasting tasks don't run")
		}
	}
	time.Sleep(8 * time.Second)
	if trouble {
		w.note("many users come: tails rise to %d ms", pressedTail)
		w.setTails(pressedTail)
	}
	time.Sleep(burstTime)
	w.note("the tails are at %d ms", usualTail)
	w.setTails(usualTail)
	time.Sleep(3 * time.Second)
	return w.awayTogether(filling), nil
}

// setTails sets the tails at all minions.
func (w *world) setTails(ms int) {
	for _, m := range w.minions {
		m.mu.Lock()
		m.tail = ms
		m.mu.Unlock()
	}
}

// awayTogether returns how the allowance of a job's step for tasks that are away was exceeded by
// stops, empty if it wasn't.
func (w *world) awayTogether(j *job) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	away, most := map[string]bool{}, 0
	for _, c := range w.changes {
		switch {
		case c.step != &j.Steps[0]:
		case c.atWork:
			delete(away, c.task)
		default:
			away[c.task] = true
			most = max(most, len(away))
		}
	}
	fmt.Fprintf(w.record, "          %d tasks were away at a time by the system's orders\n", most)
	if most > *j.Steps[0].Miss {
		return fmt.Sprintf("AVAIL: %d tasks were away by the system's orders at a time, where %d may be", most, *j.Steps[0].Miss)
	}
	return ""
}
