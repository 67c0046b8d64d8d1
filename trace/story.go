package trace

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// The numbers of events that tell what hosts believe of the domain; see the
// catalogue of events.
const (
	firstBelief = 900
	lastBelief  = 913
	domainState = 912
)

// around is how long before its first and after its last line the beliefs of
// hosts belong to a job's story: as long as a take-over lasts.
const around = 2 * time.Second

// Line is one line of a story.
type Line struct {
	Record
	// Belief is set for what a host believed meanwhile.
	DomainEvent bool
}

// Story returns what is known of a job, in order of time, together with changes
// of belief meanwhile and the state of the domain at the time of each line.
func Timeline(records []Record, id string) []Line {
	var story []Line
	for _, r := range records {
		if r.about(id) {
			story = append(story, Line{Record: r})
		}
	}
	if len(story) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(story, byTime)
	from, to := story[0].Time.Add(-around), story[len(story)-1].Time.Add(around)
	for _, r := range records {
		if r.Event < firstBelief || r.Event > lastBelief || r.about(id) || r.Time.Before(from) || r.Time.After(to) {
			continue
		}
		if r.Event != domainState || waited(&r) {
			story = append(story, Line{Record: r, DomainEvent: true})
		}
	}
	slices.SortStableFunc(story, byTime)
	return story
}

// waited reports whether tasks were waiting at that time.
func waited(r *Record) bool {
	state, ok := r.Fields["state"].(map[string]any)
	if !ok {
		return false
	}
	waits, ok := state["waits"].(map[string]any)
	return ok && len(waits) > 0
}

// Write prints a story, each line with the time since the first.
func WriteTimeline(w io.Writer, story []Line) error {
	for _, l := range story {
		mark := " "
		if l.DomainEvent {
			mark = "~"
		}
		_, err := fmt.Fprintf(w, "%s %+8.3fs %-24s %d %s%s\n", mark, l.Time.Sub(story[0].Time).Seconds(), l.Source,
			l.Event, l.Message, details(l.Fields))
		if err != nil {
			return errors.Wrap(err, "write story")
		}
	}
	return nil
}

// details prints fields in the order of their names.
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
