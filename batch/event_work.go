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

// EventWork is the work that is due by one start of an event, in some shards,
// by the jobs' records. It is known for as long as these are kept.
type EventWork struct {
	Event string `msgpack:"e"`
	// StartUnixMS is the start, in Unix milliseconds.
	StartUnixMS int64 `msgpack:"s"`
	// Jobs counts all. Done, Parked and Cancelled count those that ended so,
	// and Late those among the done ones that were done after they were due.
	Jobs      int `msgpack:"j"`
	Done      int `msgpack:"d"`
	Late      int `msgpack:"l"`
	Parked    int `msgpack:"p"`
	Cancelled int `msgpack:"x"`
	// Verdict and Reason are what the shards' planners foresee of the work
	// left, the worst of them; empty if no planner that has some told.
	Verdict forecast.Verdict `msgpack:"v"`
	Reason  string           `msgpack:"r"`
}

// Remaining counts the jobs that have not ended.
func (w EventWork) Remaining() int { return w.Jobs - w.Done - w.Parked - w.Cancelled }

// Add returns the work of both.
func (w EventWork) Add(o EventWork) EventWork {
	w.Jobs += o.Jobs
	w.Done += o.Done
	w.Late += o.Late
	w.Parked += o.Parked
	w.Cancelled += o.Cancelled
	return w.foresee(o.Verdict, o.Reason)
}

// foresee takes in one forecast of the work left.
func (w EventWork) foresee(v forecast.Verdict, reason string) EventWork {
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

// EventStart names one start of an event.
type EventStart struct {
	Event  string
	UnixMS int64
}

// Start names the start that the work is due by.
func (w EventWork) Start() EventStart { return EventStart{w.Event, w.StartUnixMS} }

// eventWorkReply is one host's answer.
type eventWorkReply struct {
	Work []EventWork `msgpack:"w"`
}

// EventWork returns the work due by each start of each event in the shards
// owned here, in order; false when ctx ended first.
func (m *Manager) EventWork(ctx context.Context) ([]EventWork, bool) {
	r, ok := m.eventWorkHere(ctx, struct{}{})
	return r.Work, ok
}

// PeerEventWork asks another entry host for its EventWork.
func (m *Manager) PeerEventWork(ctx context.Context, host string) ([]EventWork, error) {
	var r eventWorkReply
	result := m.config.Transport.Call(ctx, host, methodEventWork, struct{}{}, &r)
	return r.Work, result.Err
}

func (m *Manager) eventWorkHere(ctx context.Context, _ struct{}) (eventWorkReply, bool) {
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

// eventWork returns the shard's work by the start that it is due by.
func (s *Shard) eventWork(now time.Time, calendar forecast.Calendar) map[EventStart]EventWork {
	work := map[EventStart]EventWork{}
	for _, j := range s.jobs {
		start, ok := startOf(calendar, j.rec.Spec)
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
			work[start] = w.foresee(r.Verdict, r.Reason)
		}
	}
	return work
}

// startOf returns the start that a job is due by.
func startOf(calendar forecast.Calendar, spec task.Spec) (EventStart, bool) {
	e, known := calendar.Find(spec.Event)
	if !known {
		return EventStart{}, false
	}
	at, _ := e.Next(time.UnixMilli(spec.SubmittedUnixMS))
	return EventStart{spec.Event, at.UnixMilli()}, !at.IsZero()
}

// eventWorkOf returns what one job adds.
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
