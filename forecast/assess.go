package forecast

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Supply is the progress of an event's jobs and the capacity available to
// them.
type Supply struct {
	// FreeMilliCPU is available to pending jobs, in thousandths of a core.
	FreeMilliCPU int64
	// Done counts the finished jobs of the occurrence, Late those of them that
	// finished after they were due.
	Done int
	Late int
}

// Assess reports whether the unfinished jobs of an event will finish in time.
// It sorts jobs by due time.
func Assess(event string, start, now time.Time, jobs []Job, supply Supply) Report {
	r := Report{Event: event, Start: start, Done: supply.Done}
	slices.SortFunc(jobs, func(a, b Job) int {
		return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range jobs {
		r.count(j)
	}
	r.Verdict, r.Reason = judge(now, jobs, supply)
	return r
}

func (r *Report) count(j Job) {
	if j.Running {
		r.Running++
		return
	}
	r.Pending++
	latest := j.latestStart()
	if r.LatestStart.IsZero() || latest.Before(r.LatestStart) {
		r.LatestStart = latest
	}
}

// judge returns the verdict with the first reason that applies.
func judge(now time.Time, jobs []Job, supply Supply) (Verdict, string) {
	if supply.Late > 0 {
		return Missed, fmt.Sprintf("%d jobs were done after they were due", supply.Late)
	}
	for _, j := range jobs {
		if now.After(j.Due) {
			return Missed, fmt.Sprintf("job %s was due %s ago", j.ID, now.Sub(j.Due).Round(time.Second))
		}
	}
	for _, j := range jobs {
		if reason := j.risk(now); reason != "" {
			return AtRisk, reason
		}
	}
	if reason := shortage(now, jobs, supply.FreeMilliCPU); reason != "" {
		return AtRisk, reason
	}
	switch {
	case len(jobs) == 0 && supply.Done == 0:
		return WillMeet, "no work is due"
	case len(jobs) == 0:
		return Met, "all work is done"
	default:
		return WillMeet, fmt.Sprintf("%d jobs left, all in time by learned run times", len(jobs))
	}
}

// risk returns why the job alone may be late; empty if it is expected to
// finish in time.
func (j Job) risk(now time.Time) string {
	left := j.Due.Sub(now)
	switch {
	case j.Remaining > left:
		return fmt.Sprintf("job %s needs %s and is due in %s",
			j.ID, j.Remaining.Round(time.Second), left.Round(time.Second))
	case j.BlockedReason != "" && 2*j.Remaining > left:
		return fmt.Sprintf("job %s must start within %s: %s",
			j.ID, (left - j.Remaining).Round(time.Second), j.BlockedReason)
	default:
		return ""
	}
}

// shortage returns the first due time for which the pending jobs need more
// processor time than is available; empty if there is none. Jobs must be
// sorted by due time.
func shortage(now time.Time, jobs []Job, free int64) string {
	work := 0.0
	for _, j := range jobs {
		if j.Running {
			free += j.MilliCPU
		}
		work += j.Remaining.Seconds() * float64(j.MilliCPU)
		available := j.Due.Sub(now).Seconds() * float64(max(free, 0))
		if !j.Running && work > available {
			return fmt.Sprintf("work due by %s needs %.0f core hours, %.0f are at hand",
				j.Due.UTC().Format(time.TimeOnly), work/3.6e6, available/3.6e6)
		}
	}
	return ""
}
