package burn

import (
	"slices"
	"time"
)

// Objective is what is asked of a service.
type Objective struct {
	Name    string
	Service string
	// Target is the share of calls that must be good.
	Target float64
}

// Report is the burn of one objective.
type Report struct {
	Objective Objective
	Windows   []Window
	Alert     Alert
	// Unseen lists hosts that stopped without closing their sheet: up to one
	// flush interval of their calls is missing.
	Unseen []string
	// History is the calls of the last HistoryLength, oldest first.
	History []Point
}

// Evaluate reports one objective at now from the sheets of all hosts. A sheet
// not written for longer than stale and not closed counts as unseen.
func Evaluate(o Objective, sheets []HourCounts, now time.Time, stale time.Duration) Report {
	r := Report{Objective: o}
	for _, length := range Windows {
		r.Windows = append(r.Windows, window(o, sheets, now, length))
	}
	r.Alert = alertOf(r.Windows)
	r.History = history(o, sheets, now)
	oldest := now.Add(-Windows[len(Windows)-1]).UnixMilli()
	for _, s := range sheets {
		lost := !s.Closed && now.UnixMilli()-s.LastUnixMS > stale.Milliseconds()
		if s.Objective == o.Name && lost && s.LastUnixMS > oldest && !slices.Contains(r.Unseen, s.Host) {
			r.Unseen = append(r.Unseen, s.Host)
		}
	}
	slices.Sort(r.Unseen)
	return r
}

// window sums the whole minutes that lie in the window, the current one
// included.
func window(o Objective, sheets []HourCounts, now time.Time, length time.Duration) Window {
	w := Window{Length: length}
	end := now.UnixMilli()
	start := end - length.Milliseconds()
	first := end
	for _, s := range sheets {
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
	w.Burn = rate(w.Good, w.Total, o.Target)
	return w
}

// rate returns the burn rate; 0 where there were no calls.
func rate(good, total int64, target float64) float64 {
	if total == 0 {
		return 0
	}
	bad := float64(total-good) / float64(total)
	return bad / (1 - target)
}
