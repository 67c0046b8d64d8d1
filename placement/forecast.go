package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/forecast"
	"github.com/fireflygate/fireflygate/task"
)

// Forecast returns a report on every event for this shard. It examines each
// job, so it is for reports, not for planning.
func (s *Scheduler) Forecast(now time.Time) []forecast.Report {
	reports := make([]forecast.Report, 0, len(s.calendar))
	for _, e := range s.calendar {
		w, ok := e.Window(now)
		if !ok {
			continue
		}
		supply := forecast.Supply{FreeMilliCPU: s.freeMilliCPU()}
		if p, known := s.progress[occurrence{event: e.Name, unix: w.Start.Unix()}]; known {
			supply.Done, supply.Late = p.done, p.late
		}
		jobs := s.eventJobs(now, e.Name, w.Start)
		reports = append(reports, forecast.Assess(e.Name, w.Start, now, jobs, supply))
	}
	return reports
}

// freeMilliCPU returns the free processors of all schedulable hosts, in
// thousandths of a core.
func (s *Scheduler) freeMilliCPU() int64 {
	free := int64(0)
	for _, n := range s.order {
		if n.host.Unschedulable == "" {
			free += max(n.free().MilliCPU, 0)
		}
	}
	return free
}

// eventJobs returns the unfinished jobs that are due by an occurrence of an
// event.
func (s *Scheduler) eventJobs(now time.Time, event string, start time.Time) []forecast.Job {
	var jobs []forecast.Job
	for _, j := range s.queue.jobs {
		if s.isDueBy(j.spec, event, start) {
			jobs = append(jobs, s.pendingJob(j))
		}
	}
	for _, r := range s.runs {
		if s.isDueBy(r.spec, event, start) {
			jobs = append(jobs, s.runningJob(now, r))
		}
	}
	return jobs
}

// isDueBy reports whether a job belongs to the occurrence that begins at
// start, or to an earlier one.
func (s *Scheduler) isDueBy(spec task.Spec, event string, start time.Time) bool {
	if spec.Event != event {
		return false
	}
	own, ok := s.occurrenceStart(spec)
	return ok && !own.After(start)
}

func (s *Scheduler) pendingJob(j *pending) forecast.Job {
	job := forecast.Job{
		ID:        j.spec.ID,
		Remaining: s.remaining(j.spec, 0),
		Due:       time.UnixMilli(s.dueUnixMS(j.spec)),
		MilliCPU:  s.estimator.Size(j.spec).MilliCPU,
	}
	if v := j.group.verdict; v != placed && v != notTried {
		job.BlockedReason = v.String()
	}
	return job
}

func (s *Scheduler) runningJob(now time.Time, r *run) forecast.Job {
	elapsed := r.doneMS
	if !r.started.IsZero() {
		elapsed = max(elapsed, now.Sub(r.started).Milliseconds())
	}
	return forecast.Job{
		ID:        r.spec.ID,
		Running:   true,
		Remaining: s.remaining(r.spec, elapsed),
		Due:       time.UnixMilli(s.dueUnixMS(r.spec)),
		MilliCPU:  r.size.MilliCPU,
	}
}

// remaining returns the expected run time less the work done.
func (s *Scheduler) remaining(spec task.Spec, doneMS int64) time.Duration {
	return time.Duration(max(s.estimator.RunMS(spec)-doneMS, 0)) * time.Millisecond
}
