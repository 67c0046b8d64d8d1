package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/forecast"
	"github.com/fireflygate/fireflygate/task"
)

// Forecast foresees every event as far as this shard goes. It looks at each
// job, so it is for reports, not for decisions.
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

// freeMilliCPU is what schedulable hosts have free in all.
func (s *Scheduler) freeMilliCPU() int64 {
	free := int64(0)
	for _, n := range s.order {
		if n.host.Unschedulable == "" {
			free += max(n.free().MilliCPU, 0)
		}
	}
	return free
}

// eventJobs are the jobs due by a start of an event that are not done.
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

// isDueBy reports whether a job belongs to a start of an event, or to an
// earlier one that it missed.
func (s *Scheduler) isDueBy(spec task.Spec, event string, start time.Time) bool {
	if spec.Event != event {
		return false
	}
	own, ok := s.startOf(spec)
	return ok && !own.After(start)
}

func (s *Scheduler) pendingJob(j *pending) forecast.Job {
	job := forecast.Job{
		ID:        j.spec.ID,
		Remaining: s.remaining(j.spec, 0),
		Due:       time.UnixMilli(s.dueUnixMS(j.spec)),
		MilliCPU:  s.sizes.Size(j.spec).MilliCPU,
	}
	if v := j.group.verdict; v != placed && v != notTried {
		job.BlockedReason = v.String()
	}
	return job
}

func (s *Scheduler) runningJob(now time.Time, r *run) forecast.Job {
	gone := r.doneMS
	if !r.started.IsZero() {
		gone = max(gone, now.Sub(r.started).Milliseconds())
	}
	return forecast.Job{
		ID:        r.spec.ID,
		Running:   true,
		Remaining: s.remaining(r.spec, gone),
		Due:       time.UnixMilli(s.dueUnixMS(r.spec)),
		MilliCPU:  r.size.MilliCPU,
	}
}

// remaining is the learned run time less what is done of it.
func (s *Scheduler) remaining(spec task.Spec, doneMS int64) time.Duration {
	return time.Duration(max(s.sizes.RunMS(spec)-doneMS, 0)) * time.Millisecond
}
