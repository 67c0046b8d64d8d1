package gate

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/batch"
	"github.com/fireflygate/fireflygate/gen/operations"
	"github.com/fireflygate/fireflygate/settings"
)

// Forecasts of an event, as they are shown.
const (
	forecastMet      = "met"
	forecastMissed   = "missed"
	forecastWillMeet = "will_meet"
	forecastAtRisk   = "at_risk"
)

// events returns every event of the policy with the work due by it, over all
// entry hosts that answer.
func (g *Gate) events(ctx context.Context) []*operations.EventStatus {
	work, silent := g.eventWork(ctx)
	now := time.Now()
	policy := g.policy()
	out := []*operations.EventStatus{}
	for name, e := range policy.Events {
		out = append(out, eventStatus(now, name, e, work[name], silent))
	}
	sortEvents(out)
	return out
}

// eventWork sums the work by event and lists the hosts that did not answer.
func (g *Gate) eventWork(ctx context.Context) (map[string]batch.EventWork, []string) {
	work := map[string]batch.EventWork{}
	add := func(list []batch.EventWork) {
		for _, w := range list {
			work[w.Event] = work[w.Event].Add(w)
		}
	}
	own, _ := g.batch.EventWork(ctx)
	add(own)
	var silent []string
	for host := range g.spreader.known() {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		list, err := g.batch.PeerEventWork(ctx, host)
		cancel()
		if err != nil {
			silent = append(silent, host)
			continue
		}
		add(list)
	}
	return work, silent
}

// eventStatus judges one event at now.
func eventStatus(now time.Time, name string, e settings.Event, w batch.EventWork, silent []string) *operations.EventStatus {
	s := &operations.EventStatus{Name: name, Jobs: w.Jobs, Done: w.Done}
	start, err := e.Next(now)
	if err != nil {
		s.Forecast, s.Reason = forecastAtRisk, err.Error()
		return s
	}
	s.StartUnixMs = start.UnixMilli()
	s.Forecast, s.Reason = judge(now, start, w)
	if len(silent) > 0 {
		s.Reason += fmt.Sprintf("; not heard from %v", silent)
	}
	return s
}

// judge says whether the work will be done by the start, and why.
func judge(now, start time.Time, w batch.EventWork) (forecast, reason string) {
	left := w.Jobs - w.Done - w.Ended
	need := time.Duration(w.LongestMS) * time.Millisecond
	switch {
	case left == 0 && w.Ended == 0 && w.LastDoneUnixMS <= start.UnixMilli():
		return forecastMet, "all work is done"
	case now.After(start):
		return forecastMissed, fmt.Sprintf("%d of %d jobs were not done by the start", max(left+w.Ended, 1), w.Jobs)
	case w.Ended > 0:
		return forecastAtRisk, fmt.Sprintf("%d jobs were cancelled or parked", w.Ended)
	case now.Add(need).After(start):
		return forecastAtRisk, fmt.Sprintf("%d jobs have not started and the longest takes %s", w.Unstarted, need)
	default:
		return forecastWillMeet, fmt.Sprintf("%d jobs left, %s until the start", left, start.Sub(now).Round(time.Second))
	}
}

func sortEvents(list []*operations.EventStatus) {
	slices.SortFunc(list, func(a, b *operations.EventStatus) int { return strings.Compare(a.Name, b.Name) })
}
