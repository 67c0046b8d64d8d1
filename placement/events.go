package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/task"
)

// updateWindows brings the windows up to date.
func (s *Scheduler) updateWindows(now time.Time) {
	for i, e := range s.calendar {
		s.windows[i], _ = e.Window(now)
	}
}

// reserve is the share of processors that the job must leave free if it
// starts now: more if it would run into the window of an event that it is no
// work of.
func (s *Scheduler) reserve(now time.Time, spec task.Spec) float64 {
	share := s.options.Headroom
	if spec.QoS == task.LatencyCritical {
		return share
	}
	for i, e := range s.calendar {
		if e.Headroom <= share || e.Name == spec.Event {
			continue
		}
		if s.windows[i].Overlaps(now, s.end(now, spec)) {
			share = e.Headroom
		}
	}
	return share
}

// end is when a job that starts now should end, by the learned run time. A
// standing job counts as long enough to be drained before a window.
func (s *Scheduler) end(now time.Time, spec task.Spec) time.Time {
	if spec.RunMS == 0 {
		return now.Add(drainLead)
	}
	return now.Add(time.Duration(s.sizes.RunMS(spec)) * time.Millisecond)
}

// dueUnixMS is when the job must be done, in Unix milliseconds: by its own
// due time, else by the first start of its event after it was submitted; 0 for
// never.
func (s *Scheduler) dueUnixMS(spec task.Spec) int64 {
	if spec.DueUnixMS != 0 {
		return spec.DueUnixMS
	}
	start, ok := s.startOf(spec)
	if !ok {
		return 0
	}
	return start.UnixMilli()
}

// startOf is the start that a job of an event is due by.
func (s *Scheduler) startOf(spec task.Spec) (time.Time, bool) {
	e, known := s.calendar.Find(spec.Event)
	if !known {
		return time.Time{}, false
	}
	return e.Next(time.UnixMilli(spec.SubmittedUnixMS))
}
