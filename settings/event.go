package settings

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Event is a named event with a start time by which jobs can be due.
type Event struct {
	// Start is its time as RFC 3339, or "15:04" for every day.
	Start string `toml:"start"`
	// Location is the time zone of a daily start, such as "Europe/Rome".
	Location string `toml:"location"`
	// Services must stay responsive around the start.
	Services []string `toml:"services"`
	// Headroom is the share of processors kept free around the start.
	Headroom float64 `toml:"headroom"`
	// Before and After are how long around the start the headroom is kept.
	Before Duration `toml:"before"`
	After  Duration `toml:"after"`
}

// dailyLayout is the time layout of a daily start.
const dailyLayout = "15:04"

// Next returns the first start of a daily event that is not before now. The start
// of an event with a date is returned even if it has passed.
func (e Event) Next(now time.Time) (time.Time, error) {
	if at, err := time.Parse(time.RFC3339, e.Start); err == nil {
		return at, nil
	}
	daily, err := time.Parse(dailyLayout, e.Start)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "event start")
	}
	loc, err := time.LoadLocation(e.Location)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "event location")
	}
	local := now.In(loc)
	start := time.Date(local.Year(), local.Month(), local.Day(), daily.Hour(), daily.Minute(), 0, 0, loc)
	if start.Before(now) {
		start = time.Date(local.Year(), local.Month(), local.Day()+1, daily.Hour(), daily.Minute(), 0, 0, loc)
	}
	return start, nil
}
