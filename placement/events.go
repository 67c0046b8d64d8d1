package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/task"
)

// updateWindows computes the window of each event as of now.
func (s *Scheduler) updateWindows(now time.Time) {
	for i, e := range s.calendar {
		s.windows[i], _ = e.Window(now)
	}
}

// headroomShare returns the share of a host's processors that the job must
// leave free if it starts now. It is larger if the run would overlap the
// window of an event that the job doesn't belong to.
func (s *Scheduler) headroomShare(now time.Time, spec task.Spec) float64 {
	share := s.options.Headroom
	if spec.QoS == task.LatencyCritical {
		return share
	}
	for i, e := range s.calendar {
		if e.Headroom <= share || e.Name == spec.Event {
			continue
		}
		if s.windows[i].Overlaps(now, s.expectedEnd(now, spec)) {
			share = e.Headroom
		}
	}
	return share
}

// expectedEnd returns when a job that starts now is expected to end. A
// long-running job, which declares no run time, counts as ending after drainLead,
// since it can be drained ahead of a window.
func (s *Scheduler) expectedEnd(now time.Time, spec task.Spec) time.Time {
	if spec.RunMS == 0 {
		return now.Add(drainLead)
	}
	return now.Add(time.Duration(s.estimator.RunMS(spec)) * time.Millisecond)
}

// dueUnixMS returns when the job must be finished, in Unix milliseconds: its
// own due time, or else the first start of its event after its submission; 0
// if it is never due.
func (s *Scheduler) dueUnixMS(spec task.Spec) int64 {
	if spec.DueUnixMS != 0 {
		return spec.DueUnixMS
	}
	start, ok := s.occurrenceStart(spec)
	if !ok {
		return 0
	}
	return start.UnixMilli()
}

// occurrenceStart returns the start of the occurrence that a job of an event
// is due by.
func (s *Scheduler) occurrenceStart(spec task.Spec) (time.Time, bool) {
	e, known := s.calendar.Find(spec.Event)
	if !known {
		return time.Time{}, false
	}
	return e.Next(time.UnixMilli(spec.SubmittedUnixMS))
}
