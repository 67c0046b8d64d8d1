package batch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/forecast"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/task"
)

const methodEventWork peer.Method = "batch.event_work"

// EventWork summarizes the jobs due by one start of an event in a set of
// shards. Jobs count until their records are deleted.
type EventWork struct {
	Event string `msgpack:"e"`
	// StartUnixMS is the start of the event in Unix milliseconds.
	StartUnixMS int64 `msgpack:"s"`
	// Jobs is the number of all jobs; Done, Parked and Cancelled count those
	// in that state. Late counts the done jobs that finished after their
	// deadline.
	Jobs      int `msgpack:"j"`
	Done      int `msgpack:"d"`
	Late      int `msgpack:"l"`
	Parked    int `msgpack:"p"`
	Cancelled int `msgpack:"x"`
	// Verdict and Reason are the worst forecast among the shards with
	// remaining work; empty if there is none.
	Verdict forecast.Verdict `msgpack:"v"`
	Reason  string           `msgpack:"r"`
}

// Remaining returns the number of jobs that have not ended.
func (w EventWork) Remaining() int { return w.Jobs - w.Done - w.Parked - w.Cancelled }

// Add returns the sum of both.
func (w EventWork) Add(o EventWork) EventWork {
	w.Jobs += o.Jobs
	w.Done += o.Done
	w.Late += o.Late
	w.Parked += o.Parked
	w.Cancelled += o.Cancelled
	return w.mergeForecast(o.Verdict, o.Reason)
}

// mergeForecast returns w with its forecast merged with another.
func (w EventWork) mergeForecast(v forecast.Verdict, reason string) EventWork {
	switch {
	case v == "":
		return w
	case w.Verdict == "":
		w.Verdict, w.Reason = v, reason
		return w
	}
	merged := forecast.Report{Verdict: w.Verdict, Reason: w.Reason}.Merge(forecast.Report{Verdict: v, Reason: reason})
	w.Verdict, w.Reason = merged.Verdict, merged.Reason
	return w
}

// EventStart identifies one start of an event.
type EventStart struct {
	Event  string
	UnixMS int64
}

// Start returns the event start that the work is due by.
func (w EventWork) Start() EventStart { return EventStart{w.Event, w.StartUnixMS} }

// eventWorkReply is one host's reply.
type eventWorkReply struct {
	Work []EventWork `msgpack:"w"`
}

// EventWork returns the work due by each start of each event in the shards that
// this host owns, sorted by event and start; false if ctx ended first.
func (m *Manager) EventWork(ctx context.Context) ([]EventWork, bool) {
	r, ok := m.eventWorkLocal(ctx, struct{}{})
	return r.Work, ok
}

// PeerEventWork requests the EventWork of another entry host.
func (m *Manager) PeerEventWork(ctx context.Context, host string) ([]EventWork, error) {
	var r eventWorkReply
	result := m.config.Transport.Call(ctx, host, methodEventWork, struct{}{}, &r)
	return r.Work, result.Err
}

func (m *Manager) eventWorkLocal(ctx context.Context, _ struct{}) (eventWorkReply, bool) {
	return await(ctx, m, func(now time.Time, reply func(eventWorkReply)) {
		work := map[EventStart]EventWork{}
		for _, o := range m.shards {
			for start, w := range o.eventWork(now, m.calendar) {
				work[start] = work[start].Add(w)
			}
		}
		reply(eventWorkReply{Work: sortedWork(work)})
	})
}

// eventWork returns the shard's work by event start.
func (s *Shard) eventWork(now time.Time, calendar forecast.Calendar) map[EventStart]EventWork {
	work := map[EventStart]EventWork{}
	for _, j := range s.jobs {
		start, ok := eventStartOf(calendar, j.rec.Spec)
		if ok {
			work[start] = work[start].Add(eventWorkOf(j.rec, start))
		}
	}
	if len(work) == 0 {
		return work
	}
	for _, r := range s.planner.Forecast(now) {
		start := EventStart{r.Event, r.Start.UnixMilli()}
		if w, ok := work[start]; ok && w.Remaining() > 0 {
			work[start] = w.mergeForecast(r.Verdict, r.Reason)
		}
	}
	return work
}

// eventStartOf returns the event start that a job is due by; false for none.
func eventStartOf(calendar forecast.Calendar, spec task.Spec) (EventStart, bool) {
	e, known := calendar.Find(spec.Event)
	if !known {
		return EventStart{}, false
	}
	at, _ := e.Next(time.UnixMilli(spec.SubmittedUnixMS))
	return EventStart{spec.Event, at.UnixMilli()}, !at.IsZero()
}

// eventWorkOf returns the work that one job counts as.
func eventWorkOf(r task.Record, start EventStart) EventWork {
	w := EventWork{Jobs: 1}
	due := cmp.Or(r.Spec.DueUnixMS, start.UnixMS)
	switch r.State {
	case task.Done:
		w.Done = 1
		if r.FinishedUnixMS > due {
			w.Late = 1
		}
	case task.Cancelled:
		w.Cancelled = 1
	case task.Parked:
		w.Parked = 1
	}
	return w
}

func sortedWork(work map[EventStart]EventWork) []EventWork {
	out := make([]EventWork, 0, len(work))
	for start, w := range work {
		w.Event, w.StartUnixMS = start.Event, start.UnixMS
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b EventWork) int {
		return cmp.Or(cmp.Compare(a.Event, b.Event), cmp.Compare(a.StartUnixMS, b.StartUnixMS))
	})
	return out
}
