// Package event defines the numbered log events. Each has one definition
// here and one line in docs/EVENTS.md; a test keeps the two alike.
package event

import (
	"context"
	"log/slog"
)

// Event is a kind of log record with a number that never changes meaning.
type Event struct {
	// Number identifies the event in docs/EVENTS.md.
	Number int
	// Level is the severity that it is logged at.
	Level slog.Level
	// Message is its constant text.
	Message string
	// Routine events come once or more for each request, start or end, and may
	// be dropped when they come too fast. All others tell a change of what a
	// host believes or does.
	Routine bool
}

// registry holds every event defined in this package, by number.
var registry = map[int]Event{}

// define registers an event; a number used twice is a broken invariant.
func define(number int, level slog.Level, message string) Event {
	if _, dup := registry[number]; dup {
		panic("event: number defined twice: " + message)
	}
	e := Event{Number: number, Level: level, Message: message}
	registry[number] = e
	return e
}

// routine registers an event that comes with each request, start or end.
func routine(number int, level slog.Level, message string) Event {
	e := define(number, level, message)
	e.Routine = true
	registry[number] = e
	return e
}

// IsRoutine reports whether the event of that number is routine.
func IsRoutine(number int64) bool { return registry[int(number)].Routine }

// All returns every event by number.
func All() map[int]Event { return registry }

// Log writes the event with attributes to log. Errors are written as their
// message, without the stack that they carry.
func (e Event) Log(log *slog.Logger, attrs ...slog.Attr) {
	all := make([]slog.Attr, 0, len(attrs)+1)
	all = append(all, slog.Int("event", e.Number))
	for _, a := range attrs {
		if err, ok := a.Value.Any().(error); ok {
			a = slog.String(a.Key, err.Error())
		}
		all = append(all, a)
	}
	log.LogAttrs(context.Background(), e.Level, e.Message, all...)
}
