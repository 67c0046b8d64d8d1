package main

import (
	"errors"
	"fmt"
	"time"
)

func init() {
	scenarios["reborn-late"] = rebornLate
}

// cutTime is how long the minion is cut off, lateBy how much later the start is carried out.
const (
	cutTime = 12 * time.Second
	lateBy  = 6 * time.Second
)

// rebornLate: a minion leaves a start unanswered, crashes behind a cut, and starts again under
// its ID. Its new life carries the start out late. No task may run twice at the same time.
func rebornLate(w *world, trouble bool) (string, error) {
	w.returns, w.uptime = true, time.Hour
	if err := w.site(3, 16, 3); err != nil {
		return "", err
	}
	j := &job{ID: "00000000000000a5", Steps: []step{{
		Count: 1, CPU: 13000, MemMB: 26000, EstimateMS: 8000, work: 8 * time.Second,
	}}}
	if trouble {
		for _, m := range w.minions {
			m.mu.Lock()
			m.startLate = lateBy
			m.late = func(o *order) {
				for _, other := range w.minions {
					other.mu.Lock()
					other.startLate = 0
					other.mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
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
	await(hopeful, func() bool {
		if n := w.running(task); n > 1 && broken == "" {
			broken = fmt.Sprintf("TWICE: %d runs of %s at the same time, on minions that are up", n, task)
			w.note("%s", broken)
		}
		return w.endsOf("done") > 0
	})
	time.Sleep(5 * time.Second)
	state := w.awaitEnd(j)
	w.note("the job is shown as %q; %d runs ended done", state, w.endsOf("done"))
	switch {
	case broken != "":
		return broken, nil
	case w.endsOf("done") > 1:
		return "TWICE: two runs ended done", nil
	case state != "complete":
		return "", errors.New("the job isn't complete: " + state)
	}
	return "", nil
}
