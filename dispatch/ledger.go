package dispatch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/queue"
	"github.com/fireflygate/fireflygate/workload"
)

// TimeBreakdown divides the life of a job by what kept it from ending. It is booked
// once for each Account, so its shares are as coarse as the time between two.
type TimeBreakdown struct {
	// Waited is the time in which a step could have begun a task and didn't, by
	// the cause of the first such step.
	Waited [causes]time.Duration
	// CPULimited is the time in which nothing waited and a filler ran below its full
	// pace, Running that in which all ran as they can.
	CPULimited, Running time.Duration
	// Unattributed is the time before the job was stored and, after a take-over,
	// before this owner knew it.
	Unattributed time.Duration
	// Starts counts runs ordered, Stopped those that this owner had stopped.
	Starts, Stopped int
}

// JobOutcome is what is told of a job that has ended, or has become too late to
// be of use.
type JobOutcome struct {
	Job, Queue string
	State      workload.State
	// Timeliness is what it reached: on time, late, or past its use.
	Timeliness queue.Timeliness
	// Age is the time since it was due, Objective when it should have ended.
	Age, Objective time.Duration
	// CoreMS is its work by the caller's estimates, in core-milliseconds.
	CoreMS        int64
	Tasks         int
	TimeBreakdown TimeBreakdown
}

// AttributeTime adds the time since the last call to the ledgers of the open jobs
// and returns the state of the domain in a few figures.
func (s *State) AttributeTime(now time.Time) Summary {
	sum, causes := s.summarize(now)
	passed := now.Sub(s.accountedAt)
	if s.accountedAt.IsZero() {
		passed = 0
	}
	s.accountedAt = now
	for _, j := range s.open {
		if j.lasting {
			continue // never ends by itself
		}
		j.book(now, min(passed, now.Sub(j.accepted)), causes)
		if !j.toldLost && queue.TimelinessOf(&queue.Entry{LatestStart: j.dueBy(), LatestUsefulStart: j.useLimit()}, now) == queue.Expired {
			j.toldLost = true
			s.tellOver(now, j)
		}
	}
	return sum
}

// book adds a span to what the job did in it.
func (j *job) book(now time.Time, span time.Duration, causes map[*step]WaitCause) {
	l := &j.ledger
	l.Unattributed += max(now.Sub(j.accepted)-span-l.booked(), 0)
	slowed := false
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if cause, waits := causes[st]; waits {
				l.Waited[cause] += span
				return
			}
			slowed = slowed || st.slowed()
		}
	}
	if slowed {
		l.CPULimited += span
	} else {
		l.Running += span
	}
}

// booked returns the time that is accounted for.
func (l *TimeBreakdown) booked() time.Duration {
	sum := l.CPULimited + l.Running + l.Unattributed
	for _, d := range l.Waited {
		sum += d
	}
	return sum
}

// slowed reports whether a run of the step is below its full pace.
func (s *step) slowed() bool {
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.pace < fullPace {
				return true
			}
		}
	}
	return false
}

// tellOver notes what is to be told of a job. Cancelled jobs are owed nothing.
func (s *State) tellOver(now time.Time, j *job) {
	if j.lasting || j.state == workload.Cancelled || len(s.over) >= maxOver {
		return
	}
	o := j.occurrences[len(j.occurrences)-1]
	told := JobOutcome{
		Job: j.spec.ID, Queue: j.queue.Name, State: j.state, Age: now.Sub(o.due), Objective: j.dueBy().Sub(o.due),
		Timeliness:    queue.TimelinessOf(&queue.Entry{LatestStart: j.dueBy(), LatestUsefulStart: j.useLimit()}, now),
		TimeBreakdown: j.ledger,
	}
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		told.Tasks += st.Tasks
		told.CoreMS += int64(st.Tasks) * st.Needs.MilliCPU * st.Estimate.Milliseconds() / 1000
	}
	s.over = append(s.over, told)
}

// maxOver bounds what waits to be told: several seconds' worth of jobs at the
// peak of the size to come.
const maxOver = 4096

// TakeJobOutcomes returns what there is to tell of jobs since the last call.
func (s *State) TakeJobOutcomes() []JobOutcome {
	over := s.over
	s.over = nil
	return over
}

// dueBy returns when the job's last occurrence should be complete, useLimit
// when that is of no more use.
func (j *job) dueBy() time.Time    { return j.objective(j.occurrences[len(j.occurrences)-1]) }
func (j *job) useLimit() time.Time { return j.lateLimit(j.occurrences[len(j.occurrences)-1]) }

// LogValue implements slog.LogValuer.
func (l TimeBreakdown) LogValue() slog.Value {
	attrs := []slog.Attr{slog.Int("starts", l.Starts), slog.Int("stopped", l.Stopped)}
	add := func(name string, d time.Duration) {
		if d > 0 {
			attrs = append(attrs, slog.Int64(name+"_ms", d.Milliseconds()))
		}
	}
	for cause, d := range l.Waited {
		add("waited_"+WaitCause(cause).String(), d)
	}
	add("slowed", l.CPULimited)
	add("running", l.Running)
	add("unbooked", l.Unattributed)
	return slog.GroupValue(attrs...)
}
