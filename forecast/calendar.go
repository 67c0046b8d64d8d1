package forecast

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fireflygate/fireflygate/settings"
)

// dailyLayout is the time format of a daily start.
const dailyLayout = "15:04"

// Event is a parsed event of the settings.
type Event struct {
	Name     string
	Services []string
	// Headroom is the share of processors kept free during the window.
	Headroom float64
	before   time.Duration
	after    time.Duration
	// once is the start of a one-time event; zero for a daily one.
	once time.Time
	// hour and minute are the daily start in location.
	hour     int
	minute   int
	location *time.Location
}

// Calendar holds all events, sorted by name.
type Calendar []Event

// NewCalendar parses the events of the settings. Invalid events are left out
// of the calendar and named in the error.
func NewCalendar(configured map[string]settings.Event) (Calendar, error) {
	var calendar Calendar
	var failed error
	for name, c := range configured {
		e, err := newEvent(name, c)
		if err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "event %s", name))
			continue
		}
		calendar = append(calendar, e)
	}
	slices.SortFunc(calendar, func(a, b Event) int { return strings.Compare(a.Name, b.Name) })
	return calendar, failed
}

func newEvent(name string, c settings.Event) (Event, error) {
	e := Event{
		Name:     name,
		Services: c.Services,
		Headroom: c.Headroom,
		before:   c.Before.D(),
		after:    c.After.D(),
	}
	if once, err := time.Parse(time.RFC3339, c.Start); err == nil {
		e.once = once
		return e, nil
	}
	daily, err := time.Parse(dailyLayout, c.Start)
	if err != nil {
		return e, errors.Wrap(err, "start is neither RFC 3339 nor a time of day")
	}
	e.hour, e.minute = daily.Hour(), daily.Minute()
	e.location, err = time.LoadLocation(c.Location)
	return e, errors.Wrap(err, "location")
}

// Window returns the current window at now, or else the next one. It returns
// false if the event doesn't recur and has ended.
func (e Event) Window(now time.Time) (Window, bool) {
	if !e.once.IsZero() {
		w := e.windowAround(e.once)
		return w, now.Before(w.Until)
	}
	local := now.In(e.location)
	for day := -1; day <= 2; day++ {
		start := time.Date(local.Year(), local.Month(), local.Day()+day, e.hour, e.minute, 0, 0, e.location)
		if w := e.windowAround(start); now.Before(w.Until) {
			return w, true
		}
	}
	return Window{}, false
}

// Next returns the first start later than after. It returns false if there is
// none.
func (e Event) Next(after time.Time) (time.Time, bool) {
	if !e.once.IsZero() {
		return e.once, e.once.After(after)
	}
	local := after.In(e.location)
	for day := 0; day <= 2; day++ {
		start := time.Date(local.Year(), local.Month(), local.Day()+day, e.hour, e.minute, 0, 0, e.location)
		if start.After(after) {
			return start, true
		}
	}
	return time.Time{}, false
}

func (e Event) windowAround(start time.Time) Window {
	return Window{From: start.Add(-e.before), Start: start, Until: start.Add(e.after)}
}

// Find returns the event with the given name.
func (c Calendar) Find(name string) (Event, bool) {
	for _, e := range c {
		if e.Name == name {
			return e, true
		}
	}
	return Event{}, false
}
