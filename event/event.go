// Package event defines the numbered log events. Each event is defined once
// here and listed in docs/events; a test checks that the two agree.
package event

import (
	"context"
	"log/slog"
)

// Event is a kind of log record. Its number is never reused for another event.
type Event struct {
	// Number identifies the event in docs/events.
	Number int
	// Level is the severity of the log record.
	Level slog.Level
	// Message is the text of the log record.
	Message string
	// Routine is set for events that are logged for each request, task start or
	// task end. They may be dropped under a high logging rate. All other events
	// record a change of a host's state.
	Routine bool
}

// registry holds all events by number.
var registry = map[int]Event{}

// define registers an event. It panics if the number is already in use.
func define(number int, level slog.Level, message string) Event {
	if _, dup := registry[number]; dup {
		panic("event: duplicate number for message: " + message)
	}
	e := Event{Number: number, Level: level, Message: message}
	registry[number] = e
	return e
}

// routine registers an event with Routine set.
func routine(number int, level slog.Level, message string) Event {
	e := define(number, level, message)
	e.Routine = true
	registry[number] = e
	return e
}

// IsRoutine reports whether the event with the number is routine. It returns
// false for unknown numbers.
func IsRoutine(number int64) bool { return registry[int(number)].Routine }

// All returns all events by number. The map must not be modified.
func All() map[int]Event { return registry }

// Log writes the event with attributes to log. Attributes that hold an error are
// logged as the error's message, without its stack trace.
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
