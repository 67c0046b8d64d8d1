package gate

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/batch"
	"github.com/fireflygate/fireflygate/forecast"
	"github.com/fireflygate/fireflygate/gen/operations"
	"github.com/fireflygate/fireflygate/settings"
)

// events returns the status of the next start of every event of the policy, and
// of earlier starts with recorded work. The work is that of all entry hosts
// that respond.
func (g *Gate) events(ctx context.Context) []*operations.EventStatus {
	work, unresponsive := g.eventWork(ctx)
	return eventStatuses(time.Now(), g.policy().Events, work, unresponsive)
}

// eventWork returns the work of all entry hosts by start, and the hosts that
// did not respond.
func (g *Gate) eventWork(ctx context.Context) (map[batch.EventStart]batch.EventWork, []string) {
	work := map[batch.EventStart]batch.EventWork{}
	add := func(list []batch.EventWork) {
		for _, w := range list {
			work[w.Start()] = work[w.Start()].Add(w)
		}
	}
	own, _ := g.batch.EventWork(ctx)
	add(own)
	var unresponsive []string
	for host := range g.configSync.peerVersions() {
		ctx, cancel := context.WithTimeout(ctx, eventWorkTimeout)
		list, err := g.batch.PeerEventWork(ctx, host)
		cancel()
		if err != nil {
			unresponsive = append(unresponsive, host)
			continue
		}
		add(list)
	}
	slices.Sort(unresponsive)
	return work, unresponsive
}

// eventWorkTimeout bounds the wait for one host's event work.
const eventWorkTimeout = time.Second

// eventStatuses returns the status at now of each known start, sorted by event
// and start.
func eventStatuses(now time.Time, events map[string]settings.Event, work map[batch.EventStart]batch.EventWork, unresponsive []string) []*operations.EventStatus {
	out := []*operations.EventStatus{}
	for name, e := range events {
		next, err := e.Next(now)
		if err != nil {
			out = append(out, &operations.EventStatus{Name: name, Forecast: string(forecast.AtRisk), Reason: err.Error()})
			continue
		}
		start := batch.EventStart{Event: name, UnixMS: next.UnixMilli()}
		if _, ok := work[start]; !ok {
			out = append(out, eventStatus(now, start, batch.EventWork{}, unresponsive))
		}
	}
	for start, w := range work {
		if _, ok := events[start.Event]; ok {
			out = append(out, eventStatus(now, start, w, unresponsive))
		}
	}
	slices.SortFunc(out, func(a, b *operations.EventStatus) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.StartUnixMs, b.StartUnixMs))
	})
	return out
}

// eventStatus returns the status of one start at now.
func eventStatus(now time.Time, start batch.EventStart, w batch.EventWork, unresponsive []string) *operations.EventStatus {
	s := &operations.EventStatus{Name: start.Event, StartUnixMs: start.UnixMS, Jobs: w.Jobs, Done: w.Done}
	var verdict forecast.Verdict
	verdict, s.Reason = eventVerdict(now, time.UnixMilli(start.UnixMS), w)
	s.Forecast = string(verdict)
	if len(unresponsive) > 0 {
		s.Reason += fmt.Sprintf("; not heard from %v", unresponsive)
	}
	return s
}

// eventVerdict returns whether the work was or will be done by the start, and the
// reason.
func eventVerdict(now, start time.Time, w batch.EventWork) (forecast.Verdict, string) {
	passed := now.After(start)
	switch {
	case w.Late > 0:
		return forecast.Missed, fmt.Sprintf("%d of %d jobs were done after they were due", w.Late, w.Jobs)
	case passed && w.Remaining()+w.Parked > 0:
		return forecast.Missed, fmt.Sprintf("%d of %d jobs were not done by the start", w.Remaining()+w.Parked, w.Jobs)
	case w.Parked > 0:
		return forecast.AtRisk, fmt.Sprintf("%d of %d jobs are parked", w.Parked, w.Jobs)
	case w.Jobs == w.Cancelled && !passed:
		return forecast.WillMeet, "no work is due"
	case w.Remaining() == 0:
		return forecast.Met, "all work is done"
	case w.Verdict == "":
		return forecast.AtRisk, fmt.Sprintf("%d jobs left, and their shards foresee nothing yet", w.Remaining())
	default:
		return w.Verdict, w.Reason
	}
}
