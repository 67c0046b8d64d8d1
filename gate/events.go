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

// events returns the next start of every event of the policy, and those before
// it whose work is still on record, over all entry hosts that answer.
func (g *Gate) events(ctx context.Context) []*operations.EventStatus {
	work, silent := g.eventWork(ctx)
	return eventStatuses(time.Now(), g.policy().Events, work, silent)
}

// eventWork sums the work by start and lists the hosts that did not answer.
func (g *Gate) eventWork(ctx context.Context) (map[batch.EventStart]batch.EventWork, []string) {
	work := map[batch.EventStart]batch.EventWork{}
	add := func(list []batch.EventWork) {
		for _, w := range list {
			work[w.Start()] = work[w.Start()].Add(w)
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
	slices.Sort(silent)
	return work, silent
}

// eventStatuses judges each start at now.
func eventStatuses(now time.Time, events map[string]settings.Event, work map[batch.EventStart]batch.EventWork, silent []string) []*operations.EventStatus {
	out := []*operations.EventStatus{}
	for name, e := range events {
		next, err := e.Next(now)
		if err != nil {
			out = append(out, &operations.EventStatus{Name: name, Forecast: string(forecast.AtRisk), Reason: err.Error()})
			continue
		}
		start := batch.EventStart{Event: name, UnixMS: next.UnixMilli()}
		if _, ok := work[start]; !ok {
			out = append(out, eventStatus(now, start, batch.EventWork{}, silent))
		}
	}
	for start, w := range work {
		if _, ok := events[start.Event]; ok {
			out = append(out, eventStatus(now, start, w, silent))
		}
	}
	slices.SortFunc(out, func(a, b *operations.EventStatus) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.StartUnixMs, b.StartUnixMs))
	})
	return out
}

// eventStatus judges one start at now.
func eventStatus(now time.Time, start batch.EventStart, w batch.EventWork, silent []string) *operations.EventStatus {
	s := &operations.EventStatus{Name: start.Event, StartUnixMs: start.UnixMS, Jobs: w.Jobs, Done: w.Done}
	var verdict forecast.Verdict
	verdict, s.Reason = judge(now, time.UnixMilli(start.UnixMS), w)
	s.Forecast = string(verdict)
	if len(silent) > 0 {
		s.Reason += fmt.Sprintf("; not heard from %v", silent)
	}
	return s
}

// judge says whether the work will be, or was, done by the start, and why.
func judge(now, start time.Time, w batch.EventWork) (forecast.Verdict, string) {
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
