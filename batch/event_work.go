package batch

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/task"
)

const methodEventWork peer.Method = "batch.event_work"

// EventWork is the work that is due by one event, in some shards.
type EventWork struct {
	Event string `msgpack:"e"`
	// Jobs counts all, Done those that are done, Ended those that were
	// cancelled or parked.
	Jobs  int `msgpack:"j"`
	Done  int `msgpack:"d"`
	Ended int `msgpack:"x"`
	// LongestMS is the longest declared run time among those that have not
	// started, and Unstarted counts these.
	LongestMS int64 `msgpack:"l"`
	Unstarted int   `msgpack:"u"`
	// LastDoneUnixMS is when the last one was done.
	LastDoneUnixMS int64 `msgpack:"t"`
}

// Add returns the work of both.
func (w EventWork) Add(o EventWork) EventWork {
	w.Jobs += o.Jobs
	w.Done += o.Done
	w.Ended += o.Ended
	w.Unstarted += o.Unstarted
	w.LongestMS = max(w.LongestMS, o.LongestMS)
	w.LastDoneUnixMS = max(w.LastDoneUnixMS, o.LastDoneUnixMS)
	return w
}

// eventWorkReply is one host's answer.
type eventWorkReply struct {
	Work []EventWork `msgpack:"w"`
}

// EventWork returns the work due by each event in the shards owned here, by
// the event's name; false when ctx ended first.
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
	return await(ctx, m, func(_ time.Time, reply func(eventWorkReply)) {
		work := map[string]EventWork{}
		for _, o := range m.shards {
			for _, j := range o.jobs {
				if name := j.rec.Spec.Event; name != "" {
					work[name] = work[name].Add(eventWorkOf(j.rec))
				}
			}
		}
		reply(eventWorkReply{Work: sortedWork(work)})
	})
}

// eventWorkOf returns what one job adds.
func eventWorkOf(r task.Record) EventWork {
	w := EventWork{Event: r.Spec.Event, Jobs: 1}
	switch r.State {
	case task.Done:
		w.Done, w.LastDoneUnixMS = 1, r.FinishedUnixMS
	case task.Cancelled, task.Parked:
		w.Ended = 1
	case task.Pending:
		w.Unstarted, w.LongestMS = 1, r.Spec.RunMS-r.DoneMS
	}
	return w
}

func sortedWork(work map[string]EventWork) []EventWork {
	out := make([]EventWork, 0, len(work))
	for name, w := range work {
		w.Event = name
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b EventWork) int { return strings.Compare(a.Event, b.Event) })
	return out
}
