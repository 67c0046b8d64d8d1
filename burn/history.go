package burn

import "time"

// HistoryStep and HistoryLength are the resolution and the length of a
// report's history.
const (
	HistoryStep   = 5 * time.Minute
	HistoryLength = 6 * time.Hour
)

// Point is the number of calls in one step of the history.
type Point struct {
	Start       time.Time
	Good, Total int64
}

// history sums the counts by step. The last step contains now.
func history(o Objective, counts []HourCounts, now time.Time) []Point {
	step := HistoryStep.Milliseconds()
	count := int(HistoryLength / HistoryStep)
	first := (now.UnixMilli()/step - int64(count) + 1) * step
	points := make([]Point, count)
	for i := range points {
		points[i].Start = time.UnixMilli(first + int64(i)*step)
	}
	for _, s := range counts {
		if s.Objective != o.Name {
			continue
		}
		for m := range int64(minutesPerHour) {
			since := s.Hour*msPerHour + m*msPerMinute - first
			if since < 0 || since/step >= int64(count) {
				continue
			}
			points[since/step].Good += s.Good[m]
			points[since/step].Total += s.Total[m]
		}
	}
	return points
}
