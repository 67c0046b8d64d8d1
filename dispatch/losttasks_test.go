package dispatch_test

import (
	"fmt"
	"testing"
	"time"
)

// The users' rules count a long-running task as lost that hasn't run for judgedFor, beginning
// restartGrace after its last run and calmBefore after the last disturbance at the earliest.
const (
	restartGrace = 6 * time.Second
	judgedFor    = 3 * time.Second
	calmBefore   = 4 * time.Second
	// restartAim is the aim for the time from the last loss until the task runs again, which
	// leaves a margin to the rule. Here the commits and the start that follow the end of the
	// leases take a tick each, restartTicks in all, where they take milliseconds.
	restartAim   = 6 * time.Second
	restartTicks = 3 * testTick
)

// lostOwner is an owner whose host is lost for good, and the time since the loss of its
// predecessor, or that of the task's worker.
type lostOwner struct {
	after time.Duration
	// leads is set if the time counts from when the owner began to lead.
	leads bool
}

// TestLostTasksStartAgainInTime guards against a task that stands still for too long after its
// worker and one owner's host after the other are lost for good: each successor waited for
// leases that no owner could have given any more.
func TestLostTasksStartAgainInTime(t *testing.T) {
	for name, owners := range map[string][]lostOwner{
		"at once":                     {{after: 0}},
		"after half a second":         {{after: 500 * time.Millisecond}},
		"after 1 s":                   {{after: time.Second}},
		"after 2 s":                   {{after: 2 * time.Second}},
		"after 3 s":                   {{after: 3 * time.Second}},
		"after 5 s":                   {{after: 5 * time.Second}},
		"two owners, at once":         {{after: 0}, {after: 0, leads: true}},
		"two owners, 0.3 s apart":     {{after: time.Second}, {after: 300 * time.Millisecond, leads: true}},
		"two owners, 1 s apart":       {{after: time.Second}, {after: time.Second, leads: true}},
		"two owners, 3 s apart":       {{after: time.Second}, {after: 3 * time.Second, leads: true}},
		"two owners after 3 s":        {{after: 3 * time.Second}, {after: time.Second, leads: true}},
		"three owners, each at once":  {{after: 0}, {after: 0, leads: true}, {after: 0, leads: true}},
		"three owners, 0.5 s apart":   {{after: time.Second}, {after: 500 * time.Millisecond, leads: true}, {after: 500 * time.Millisecond, leads: true}},
		"three owners, 1.5 s between": {{after: 0}, {after: 1500 * time.Millisecond, leads: true}, {after: 1500 * time.Millisecond, leads: true}},
	} {
		for phase := range 4 { // of the owner's commits and of its polls
			t.Run(fmt.Sprintf("%s, phase %d", name, phase), func(t *testing.T) {
				s, w := newScenario(t, len(owners)+2, 8)
				s.store.prompt = true
				s.run(time.Duration(phase) * testTick)
				lostAt := s.now
				s.loseWorker(w)
				for i, o := range owners {
					if o.leads {
						s.replacedBy(s.hosts[i])
					}
					s.run(o.after)
					s.hosts[i].remove()
				}
				due := s.now.Add(calmBefore + judgedFor)
				if fromLoss := lostAt.Add(restartGrace + judgedFor); fromLoss.After(due) {
					due = fromLoss
				}
				if aim := s.now.Add(restartAim + restartTicks); aim.Before(due) {
					due = aim
				}
				s.only = s.hosts[len(owners)]
				s.wantRestartWithin(due.Sub(s.now))
			})
		}
	}
}

// TestTasksOfHalfTheWorkersStartAgainInTime guards against a task that stands still for half a
// minute after half of the workers are lost with the owner's host: a successor to which the other
// half has reported took the owner for one that most workers may obey.
func TestTasksOfHalfTheWorkersStartAgainInTime(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second} {
		for phase := range 4 {
			t.Run(fmt.Sprintf("after %v, phase %d", after, phase), func(t *testing.T) {
				const workers = 8
				s, w := newScenario(t, 3, workers)
				s.store.prompt = true
				s.run(time.Duration(phase) * testTick)
				s.loseWorker(w)
				for _, other := range s.alive()[:workers/2-1] {
					s.loseWorker(other)
				}
				s.run(after)
				s.hosts[0].remove()
				s.only = s.hosts[1]
				s.wantRestartWithin(restartAim + restartTicks)
			})
		}
	}
}

// TestLostTasksStartAgainAfterRosterChanged guards against a task that stands still for 25 s after two
// owners are lost, as the second, which reached no worker, has added one to the roster: the first
// counted as one that most workers may obey.
func TestLostTasksStartAgainAfterRosterChanged(t *testing.T) {
	for phase := range 4 {
		t.Run(fmt.Sprint("phase ", phase), func(t *testing.T) {
			s, w := newScenario(t, 4, 8)
			s.store.prompt = true
			s.run(time.Duration(phase) * testTick)
			s.loseWorker(w)
			for _, other := range s.alive() {
				s.cutFromWorker(s.hosts[1], other, s.now.Add(forever))
			}
			s.hosts[0].remove()
			s.replacedBy(s.hosts[1])
			s.addWorkerInRack()
			s.runUntil(5*time.Second, "the second owner has changed the roster", func() bool { return s.store.row.RosterOf == s.store.row.Epoch })
			s.hosts[1].remove()
			s.only = s.hosts[2]
			s.wantRestartWithin(restartAim + restartTicks)
		})
	}
}
