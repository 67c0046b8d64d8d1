package trace

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// The numbers of the events on the control of the domain, see package event.
const (
	firstDomainEvent = 900
	lastDomainEvent  = 913
	domainState      = 912
)

// contextWindow is how long before a job's first and after its last line domain
// events are included in its timeline. It covers the duration of a takeover.
const contextWindow = 2 * time.Second

// Line is a line of a timeline.
type Line struct {
	Record
	// DomainEvent is set for events on the control of the domain.
	DomainEvent bool
}

// Timeline returns a job's log lines in order of time, together with the domain
// events of the same period. Domain state events are included only while tasks wait.
// It returns nil if there are no lines of the job.
func Timeline(records []Record, id string) []Line {
	var timeline []Line
	for _, r := range records {
		if r.about(id) {
			timeline = append(timeline, Line{Record: r})
		}
	}
	if len(timeline) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(timeline, byTime)
	from, to := timeline[0].Time.Add(-contextWindow), timeline[len(timeline)-1].Time.Add(contextWindow)
	for _, r := range records {
		if r.Event < firstDomainEvent || r.Event > lastDomainEvent || r.about(id) || r.Time.Before(from) || r.Time.After(to) {
			continue
		}
		if r.Event != domainState || hasWaitingTasks(&r) {
			timeline = append(timeline, Line{Record: r, DomainEvent: true})
		}
	}
	slices.SortStableFunc(timeline, byTime)
	return timeline
}

// hasWaitingTasks reports whether tasks were waiting at the time of a domain
// state event.
func hasWaitingTasks(r *Record) bool {
	state, ok := r.Fields["state"].(map[string]any)
	if !ok {
		return false
	}
	waits, ok := state["waits"].(map[string]any)
	return ok && len(waits) > 0
}

// WriteTimeline prints a timeline, each line with the time since the first.
func WriteTimeline(w io.Writer, timeline []Line) error {
	for _, l := range timeline {
		mark := " "
		if l.DomainEvent {
			mark = "~"
		}
		_, err := fmt.Fprintf(w, "%s %+8.3fs %-24s %d %s%s\n", mark, l.Time.Sub(timeline[0].Time).Seconds(), l.Source,
			l.Event, l.Message, details(l.Fields))
		if err != nil {
			return errors.Wrap(err, "write timeline")
		}
	}
	return nil
}

// details formats fields sorted by name.
func details(fields map[string]any) string {
	var all []string
	for k, v := range fields {
		if v != nil {
			all = append(all, fmt.Sprintf("%s=%v", k, v))
		}
	}
	if len(all) == 0 {
		return ""
	}
	slices.Sort(all)
	return " (" + strings.Join(all, " ") + ")"
}
