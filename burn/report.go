package burn

import (
	"slices"
	"time"
)

// Objective is a service-level objective.
type Objective struct {
	Name    string
	Service string
	// Target is the fraction of calls that must be good, below 1.
	Target float64
}

// Report is the error budget burn of one objective.
type Report struct {
	Objective Objective
	Windows   []Window
	Alert     Alert
	// Unseen lists hosts that stopped without closing their counts. Calls
	// since their last flush are missing from the report.
	Unseen []string
	// History holds the calls of the last HistoryLength, oldest first.
	History []Point
}

// Evaluate reports on one objective at the time now from the counts of all
// hosts. A host is unseen if its counts are neither closed nor written within
// stale.
func Evaluate(o Objective, counts []HourCounts, now time.Time, stale time.Duration) Report {
	r := Report{Objective: o}
	for _, length := range Windows {
		r.Windows = append(r.Windows, newWindow(o, counts, now, length))
	}
	r.Alert = alertOf(r.Windows)
	r.History = history(o, counts, now)
	oldest := now.Add(-Windows[len(Windows)-1]).UnixMilli()
	for _, s := range counts {
		unseen := !s.Closed && now.UnixMilli()-s.LastUnixMS > stale.Milliseconds()
		if s.Objective == o.Name && unseen && s.LastUnixMS > oldest && !slices.Contains(r.Unseen, s.Host) {
			r.Unseen = append(r.Unseen, s.Host)
		}
	}
	slices.Sort(r.Unseen)
	return r
}

// newWindow sums the counts of the minutes that begin within the window, the
// current one included, and computes their burn rate.
func newWindow(o Objective, counts []HourCounts, now time.Time, length time.Duration) Window {
	w := Window{Length: length}
	end := now.UnixMilli()
	start := end - length.Milliseconds()
	first := end
	for _, s := range counts {
		if s.Objective != o.Name {
			continue
		}
		for m := range int64(minutesPerHour) {
			at := s.Hour*msPerHour + m*msPerMinute
			if at < start || at > end {
				continue
			}
			w.Good += s.Good[m]
			w.Total += s.Total[m]
		}
		if s.LastUnixMS > start && s.FirstUnixMS < first {
			first = s.FirstUnixMS
		}
	}
	w.Covered = time.Duration(end-max(first, start)) * time.Millisecond
	w.Burn = burnRate(w.Good, w.Total, o.Target)
	return w
}

// burnRate returns the burn rate, or 0 if there were no calls.
func burnRate(good, total int64, target float64) float64 {
	if total == 0 {
		return 0
	}
	bad := float64(total-good) / float64(total)
	return bad / (1 - target)
}
