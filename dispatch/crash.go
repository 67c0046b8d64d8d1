package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

const (
	// maxEarlyCrashes is the number of workers that may crash under a task's runs
	// before they report them; maxCrashes is the number that may crash under its runs
	// at any time. With the last of them the task, and so its job, is given up, unless it is
	// long-running: those are started again however they end, but crashPause later. Callers
	// are promised at most two starts after the third crash. The early limit is lower,
	// as a crash right after a start says more about the task; the other leaves one
	// start for a crash that goes unnoticed as the owner changes.
	maxEarlyCrashes = 3
	maxCrashes      = 4
	// provenAfter is how long a run has to be alive to show that its task doesn't crash
	// workers: earlier crashes no longer count, and one of its own worker isn't blamed
	// on it. Otherwise a long-running task would be given up once it has outlived a few
	// workers.
	provenAfter = 10 * time.Second
	// crashPause is the least time from the loss of a worker to the next start of a long-running
	// task under which too many workers have crashed, so that one that crashes them all takes its
	// time.
	crashPause = 2 * time.Second
	// maxExhaustedHold bounds how long a task is held that is exhausted while a worker
	// among its crashes may have been cut off only.
	maxExhaustedHold = 6 * time.Second
	// maxSeparateWait bounds how long a suspect task waits for a worker without other
	// suspects, in a pool that is small or full.
	maxSeparateWait = 1500 * time.Millisecond
	// maxLostWorkers is the number of lost workers from which entries without open
	// jobs are dropped.
	maxLostWorkers = 1024
)

// crash is the loss of a worker under a run of a task.
type crash struct {
	// worker identifies the life that was lost, see crashHash.
	worker uint32
	// early is set if the worker had accepted the start and not reported the run yet.
	early bool
	// restarted is set if another incarnation answered at the worker's address.
	restarted bool
}

// crashHash identifies a life of the worker in crashes: a worker that has started again has
// crashed, though it answers.
func (w *worker) crashHash(life runner.Incarnation) uint32 {
	if life == 0 {
		return w.hash
	}
	return workerHash(w.info.ID + "/" + strconv.FormatInt(int64(life), 10))
}

// lostLife returns the incarnation in which runs that are lost now were alive.
func (l *life) lostLife() runner.Incarnation {
	if l.restarted && !l.reported {
		return l.before
	}
	return l.incarnation
}

// forgetCrashOf removes the current life of a worker from the crashes of all tasks.
func (s *State) forgetCrashOf(w *worker) {
	if w.incarnation != 0 || !w.restarted {
		s.forgetCrash(w.crashHash(w.incarnation))
	}
}

// crashRecord returns the task that holds the crashes of t: a gang counts as one task.
func (t *task) crashRecord() *task {
	if t.step.spec.Gang {
		return &t.step.tasks[0]
	}
	return t
}

// earlyCrashes counts the crashes right after a start.
func (t *task) earlyCrashes() int {
	n := 0
	for _, c := range t.crashRecord().crashes {
		if c.early {
			n++
		}
	}
	return n
}

// crashed reports whether a worker has been lost under the task.
func (t *task) crashed() bool { return len(t.crashRecord().crashes) > 0 }

// suspect reports whether the task may be the cause of its workers' crashes. Its runs
// are started separately, so that the next crash shows whether it is.
func (t *task) suspect() bool {
	return t.earlyCrashes() > 0 || len(t.crashRecord().crashes) > 1
}

// manyCrashes reports whether too many workers have crashed under the task.
func (t *task) manyCrashes() bool {
	return t.earlyCrashes() >= maxEarlyCrashes || len(t.crashRecord().crashes) >= maxCrashes
}

// exhausted reports whether so many workers have crashed under the task that it is
// given up, which a long-running one never is.
func (t *task) exhausted() bool { return !t.step.spec.LongRunning && t.manyCrashes() }

// pausedAfterCrash reports whether a long-running task starts later, as too many workers have
// crashed under it.
func (t *task) pausedAfterCrash(now time.Time) bool {
	return t.step.spec.LongRunning && t.manyCrashes() && now.Sub(t.ranBefore.at) < crashPause
}

// recordCrash records a crash of a worker under a run of the task, once per worker. If
// that was one too many, the task isn't started until giveUpJobs decides about it.
func (s *State) recordCrash(now time.Time, t *task, c crash) {
	j, record := t.step.job, t.crashRecord()
	known := slices.ContainsFunc(record.crashes, func(other crash) bool { return other.worker == c.worker })
	if t.done || j.state.Final() || known {
		return
	}
	if t.step.spec.LongRunning && len(record.crashes) == maxCrashes {
		record.crashes = slices.Delete(record.crashes, 0, 1) // there may be any number
	}
	record.crashes = append(record.crashes, c)
	s.crashedUnder[c.worker] = append(s.crashedUnder[c.worker], record)
	s.markDirty(j)
	s.holdIfExhausted(now, record)
}

// holdIfExhausted holds a task from now on if it is exhausted and not held yet.
func (s *State) holdIfExhausted(now time.Time, record *task) {
	if record.exhausted() && !slices.Contains(s.exhausted, record) {
		record.exhaustedAt = now
		s.exhausted = append(s.exhausted, record)
	}
}

// giveUpJobs decides about the exhausted tasks. The job of a task fails once all workers
// have restarted, or after maxExhaustedHold; if one answers meanwhile that was only cut off,
// the task may start again. Without the wait, a job would be given up that has crashed no
// worker. The membership list says nothing here: a worker that is cut off leaves it too.
func (s *State) giveUpJobs(now time.Time) {
	s.exhausted = slices.DeleteFunc(s.exhausted, func(t *task) bool {
		j := t.step.job
		if !t.exhausted() || t.done || j.state.Final() {
			return true
		}
		if now.Sub(t.exhaustedAt) < maxExhaustedHold && slices.ContainsFunc(t.crashes, func(c crash) bool { return !c.restarted }) {
			return false
		}
		j.reason = fmt.Sprintf("%d workers crashed under task %v", len(t.crashes), t.id())
		s.finish(now, j, workload.Failed)
		s.Stats.GivenUp++
		s.givenUp = append(s.givenUp, GivenUpJob{Job: j.spec.ID, Reason: j.reason})
		return true
	})
}

// TakeGivenUpJobs returns and clears the jobs given up since the last call.
func (s *State) TakeGivenUpJobs() []GivenUpJob {
	jobs := s.givenUp
	s.givenUp = nil
	return jobs
}

// forgetCrash removes a worker from the crashes of all tasks: it answers in the same
// incarnation, so it was cut off and hasn't crashed.
func (s *State) forgetCrash(worker uint32) {
	for _, t := range s.crashedUnder[worker] {
		t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return c.worker == worker })
		if !t.step.job.state.Final() {
			s.markDirty(t.step.job)
		}
	}
	delete(s.crashedUnder, worker)
}

// clearCrashes drops all crashes of a task with a proven run.
func (s *State) clearCrashes(t *task) {
	t.crashRecord().crashes = nil
	s.markDirty(t.step.job)
}

// pruneCrashes drops the lost workers under which only tasks of ended jobs ran.
func (s *State) pruneCrashes() {
	if len(s.crashedUnder) < maxLostWorkers {
		return
	}
	for worker, tasks := range s.crashedUnder {
		if !slices.ContainsFunc(tasks, func(t *task) bool { return !t.step.job.state.Final() }) {
			delete(s.crashedUnder, worker)
		}
	}
}

// blamed returns those of a worker's runs that may have crashed it by the given time: those
// that aren't proven. Runs whose start was withheld aren't among them.
func blamed(runs []*run, at time.Time) []*run {
	var young []*run
	for _, r := range runs {
		if !r.held && at.Sub(r.startedAt) < provenAfter {
			young = append(young, r)
		}
	}
	return young
}
