package burn

import "time"

// Recorder counts one host's calls by objective and hour. It is not safe for
// concurrent use.
type Recorder struct {
	host   string
	sheets map[sheetKey]*HourCounts
}

type sheetKey struct {
	objective string
	hour      int64
}

// NewRecorder returns an empty recorder for a host.
func NewRecorder(host string) *Recorder {
	return &Recorder{host: host, sheets: map[sheetKey]*HourCounts{}}
}

// Add counts calls of an objective at now.
func (r *Recorder) Add(now time.Time, objective string, good, total int64) {
	s := r.sheet(now, objective)
	minute := minuteOf(now.UnixMilli())
	s.Good[minute] += good
	s.Total[minute] += total
	s.LastUnixMS = now.UnixMilli()
}

// Touch notes that the host was counting at now, also without calls.
func (r *Recorder) Touch(now time.Time, objective string) {
	r.sheet(now, objective).LastUnixMS = now.UnixMilli()
}

// Flush returns the sheets to be written at now and forgets the hours that
// are over. With closing, the newest are marked closed too.
func (r *Recorder) Flush(now time.Time, closing bool) []HourCounts {
	hour := HourOf(now.UnixMilli())
	var out []HourCounts
	for key, s := range r.sheets {
		if key.hour < hour {
			s.Closed = true
			s.LastUnixMS = (key.hour + 1) * msPerHour
			delete(r.sheets, key)
		}
		s.Closed = s.Closed || closing
		out = append(out, *s)
	}
	return out
}

// Restore puts back a sheet whose write failed, so that the next flush
// carries it again.
func (r *Recorder) Restore(s HourCounts) {
	key := sheetKey{s.Objective, s.Hour}
	if _, newer := r.sheets[key]; !newer {
		r.sheets[key] = &s
	}
}

func (r *Recorder) sheet(now time.Time, objective string) *HourCounts {
	ms := now.UnixMilli()
	key := sheetKey{objective, HourOf(ms)}
	s := r.sheets[key]
	if s == nil {
		s = &HourCounts{Objective: objective, Host: r.host, Hour: key.hour, FirstUnixMS: ms, LastUnixMS: ms}
		r.sheets[key] = s
	}
	return s
}

// Snapshot returns the sheets as they are.
func (r *Recorder) Snapshot() []HourCounts {
	out := make([]HourCounts, 0, len(r.sheets))
	for _, s := range r.sheets {
		out = append(out, *s)
	}
	return out
}
