package burn

import "time"

// Recorder counts one host's calls by objective and hour. It is not safe for
// concurrent use.
type Recorder struct {
	host   string
	counts map[hourKey]*HourCounts
}

type hourKey struct {
	objective string
	hour      int64
}

// NewRecorder returns an empty recorder for a host.
func NewRecorder(host string) *Recorder {
	return &Recorder{host: host, counts: map[hourKey]*HourCounts{}}
}

// Add adds calls of an objective at the time now.
func (r *Recorder) Add(now time.Time, objective string, good, total int64) {
	s := r.hourCounts(now, objective)
	minute := minuteOf(now.UnixMilli())
	s.Good[minute] += good
	s.Total[minute] += total
	s.LastUnixMS = now.UnixMilli()
}

// Touch records that the host was counting calls at the time now, even if
// there were none.
func (r *Recorder) Touch(now time.Time, objective string) {
	r.hourCounts(now, objective).LastUnixMS = now.UnixMilli()
}

// Flush returns the counts to be written and drops those of past hours, which
// it marks as closed. With closing, the current hour is marked as closed too.
func (r *Recorder) Flush(now time.Time, closing bool) []HourCounts {
	hour := HourOf(now.UnixMilli())
	var out []HourCounts
	for key, s := range r.counts {
		if key.hour < hour {
			s.Closed = true
			s.LastUnixMS = (key.hour + 1) * msPerHour
			delete(r.counts, key)
		}
		s.Closed = s.Closed || closing
		out = append(out, *s)
	}
	return out
}

// Restore adds counts whose write failed to the next flush, unless the recorder
// has counts for the same objective and hour.
func (r *Recorder) Restore(s HourCounts) {
	key := hourKey{s.Objective, s.Hour}
	if _, newer := r.counts[key]; !newer {
		r.counts[key] = &s
	}
}

func (r *Recorder) hourCounts(now time.Time, objective string) *HourCounts {
	ms := now.UnixMilli()
	key := hourKey{objective, HourOf(ms)}
	s := r.counts[key]
	if s == nil {
		s = &HourCounts{Objective: objective, Host: r.host, Hour: key.hour, FirstUnixMS: ms, LastUnixMS: ms}
		r.counts[key] = s
	}
	return s
}

// Snapshot returns a copy of all current counts.
func (r *Recorder) Snapshot() []HourCounts {
	out := make([]HourCounts, 0, len(r.counts))
	for _, s := range r.counts {
		out = append(out, *s)
	}
	return out
}
