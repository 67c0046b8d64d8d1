package main

import (
	"errors"
	"fmt"
	"time"
)

func init() {
	scenarios["reborn-late"] = rebornLate
}

// The minion crashes crashAfter its start order, which is carried out lateBy after it was sent;
// it is cut off for cutTime from the crash on.
const (
	crashAfter = 3 * time.Second
	lateBy     = 6 * time.Second
	cutTime    = 5500 * time.Millisecond
)

// rebornLate: a minion leaves a start unanswered, crashes later behind a cut, and starts again
// under its ID. Its new life carries the start out late. A task whose end as done was taken note
// of may not start again, and none may run twice at the same time.
func rebornLate(w *world, trouble bool) (string, error) {
	w.returns, w.uptime = true, time.Hour
	if err := w.site(3, 16, 3); err != nil {
		return "", err
	}
	j := &job{ID: "00000000000000a5", Steps: []step{{
		Count: 1, CPU: 5700, MemMB: 11000, EstimateMS: 850, work: 850 * time.Millisecond,
	}}}
	if trouble {
		for _, m := range w.minions {
			m.mu.Lock()
			m.startLate = lateBy
			m.late = func(*order) {
				for _, other := range w.minions {
					other.mu.Lock()
					other.startLate = 0
					other.mu.Unlock()
				}
				time.Sleep(crashAfter)
				w.note("minion %s crashes behind a cut, and starts again under its ID", m.id)
				m.reborn(cutTime)
			}
			m.mu.Unlock()
		}
	}
	if err := w.submit(j); err != nil {
		return "", err
	}
	task, broken := j.ID+".0.0.0", ""
	for end := w.now() + 14*time.Second; w.now() < end; time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		again := w.again
		w.mu.Unlock()
		switch n := w.running(task); {
		case broken != "":
		case again > 0:
			broken = "TWICE: " + task + " starts after its end as done was taken note of"
		case n > 1:
			broken = fmt.Sprintf("TWICE: %d runs of %s at the same time, on minions that are up", n, task)
		}
	}
	state := w.awaitEnd(j)
	w.note("the job is shown as %q", state)
	if broken == "" && state != "complete" {
		return "", errors.New("the job isn't complete: " + state)
	}
	return broken, nil
}
