package dispatch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/queue"
	"github.com/fireflygate/fireflygate/workload"
)

// TimeBreakdown divides the time since a job's submission by what delayed it.
// Its resolution is the interval between calls of AttributeTime.
type TimeBreakdown struct {
	// Waited is the time in which a ready step had a task that didn't start, by
	// the cause of the first such step.
	Waited [waitCauseCount]time.Duration
	// CPULimited is the time in which nothing waited and a best-effort run was
	// below its full CPU limit; Running is the time in which all ran at full
	// speed.
	CPULimited, Running time.Duration
	// Unattributed is the time before the job was stored and, after a takeover,
	// before this owner loaded it.
	Unattributed time.Duration
	// Starts counts starts ordered, Stopped stops ordered by this owner.
	Starts, Stopped int
}

// JobOutcome describes a job that has ended or expired.
type JobOutcome struct {
	Job, Queue string
	State      workload.State
	// Reason is why the job has failed, empty if it hasn't.
	Reason string
	// Timeliness says whether the job was on time, late or expired.
	Timeliness queue.Timeliness
	// Age is the time since the last occurrence was due, Objective the time in
	// which it should have completed.
	Age, Objective time.Duration
	// CoreMS is the job's work by the caller's estimates, in core-milliseconds.
	CoreMS        int64
	Tasks         int
	TimeBreakdown TimeBreakdown
}

// AttributeTime adds the time since the last call to the breakdowns of the open
// jobs, finds long-running tasks that stand, and returns a summary of the domain.
func (s *State) AttributeTime(now time.Time) Summary {
	sum, causes := s.summarize(now)
	s.standingFound = s.findStanding(now, causes)
	elapsed := now.Sub(s.attributedAt)
	if s.attributedAt.IsZero() {
		elapsed = 0
	}
	s.attributedAt = now
	for _, j := range s.open {
		if j.longRunning {
			continue // never ends by itself
		}
		j.attribute(now, min(elapsed, now.Sub(j.submittedAt)), causes)
		if !j.expiryReported && queue.TimelinessOf(&queue.Entry{LatestStart: j.lastObjective(), LatestUsefulStart: j.lastExpiry()}, now) == queue.Expired {
			j.expiryReported = true
			s.reportOutcome(now, j)
		}
	}
	return sum
}

// attribute adds a time span to the job's breakdown.
func (j *job) attribute(now time.Time, span time.Duration, causes map[*step]WaitCause) {
	b := &j.breakdown
	b.Unattributed += max(now.Sub(j.submittedAt)-span-b.attributed(), 0)
	limited := false
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if cause, waits := causes[st]; waits {
				b.Waited[cause] += span
				return
			}
			limited = limited || st.cpuLimited()
		}
	}
	if limited {
		b.CPULimited += span
	} else {
		b.Running += span
	}
}

// attributed returns the sum of the breakdown.
func (b *TimeBreakdown) attributed() time.Duration {
	sum := b.CPULimited + b.Running + b.Unattributed
	for _, d := range b.Waited {
		sum += d
	}
	return sum
}

// cpuLimited reports whether a run of the step is below its full CPU limit.
func (s *step) cpuLimited() bool {
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.cpuLimit < fullCPU {
				return true
			}
		}
	}
	return false
}

// reportOutcome adds a job to the outcomes. Cancelled and long-running jobs
// have none.
func (s *State) reportOutcome(now time.Time, j *job) {
	if j.longRunning || j.state == workload.Cancelled || len(s.outcomes) >= maxOutcomes {
		return
	}
	o := j.occurrences[len(j.occurrences)-1]
	outcome := JobOutcome{
		Job: j.spec.ID, Queue: j.queue.Name, State: j.state, Reason: j.reason, Age: now.Sub(o.due), Objective: j.lastObjective().Sub(o.due),
		Timeliness:    queue.TimelinessOf(&queue.Entry{LatestStart: j.lastObjective(), LatestUsefulStart: j.lastExpiry()}, now),
		TimeBreakdown: j.breakdown,
	}
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		outcome.Tasks += st.Tasks
		outcome.CoreMS += int64(st.Tasks) * st.Needs.MilliCPU * st.Estimate.Milliseconds() / 1000
	}
	s.outcomes = append(s.outcomes, outcome)
}

// maxOutcomes bounds the outcomes kept for TakeJobOutcomes.
const maxOutcomes = 4096

// TakeJobOutcomes returns and clears the outcomes recorded since the last call.
func (s *State) TakeJobOutcomes() []JobOutcome {
	outcomes := s.outcomes
	s.outcomes = nil
	return outcomes
}

// lastObjective returns when the job's last occurrence should be complete,
// lastExpiry when it expires.
func (j *job) lastObjective() time.Time { return j.objective(j.occurrences[len(j.occurrences)-1]) }
func (j *job) lastExpiry() time.Time    { return j.expiry(j.occurrences[len(j.occurrences)-1]) }

// LogValue implements slog.LogValuer.
func (b TimeBreakdown) LogValue() slog.Value {
	attrs := []slog.Attr{slog.Int("starts", b.Starts), slog.Int("stopped", b.Stopped)}
	add := func(name string, d time.Duration) {
		if d > 0 {
			attrs = append(attrs, slog.Int64(name+"_ms", d.Milliseconds()))
		}
	}
	for cause, d := range b.Waited {
		add("waited_"+WaitCause(cause).String(), d)
	}
	add("slowed", b.CPULimited)
	add("running", b.Running)
	add("unbooked", b.Unattributed)
	return slog.GroupValue(attrs...)
}
