package batch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/task"
)

// message is an exchange to be sent to one worker.
type message struct {
	worker   string
	address  string
	exchange infra.Exchange
	// throttles are the limits that the orders carry, by job.
	throttles map[string]int
}

// messages returns the exchanges that are due, one a worker. They go out before
// the replay too, without orders, so that leases hold while the table is down.
func (s *Shard) messages(now time.Time) []message {
	if s.fenced || s.releasing || !s.look {
		return nil
	}
	s.look = false
	var out []message
	for _, w := range s.workers {
		if w.busy || w.member.Address == "" || (!w.soon && now.Before(w.next)) {
			continue
		}
		left := w.answered.Add(s.limits.taskLease).Sub(now)
		if w.lost {
			left = s.limits.taskLease
		}
		if left < time.Millisecond {
			continue // the runs there are to lapse; nothing may renew them
		}
		out = append(out, s.message(now, w, left))
	}
	return out
}

// message builds the worker's next exchange. The lease it carries ends when the
// one last acknowledged would, so unanswered attempts never put off the moment
// from which the runs are surely over.
func (s *Shard) message(now time.Time, w *worker, lease time.Duration) message {
	m := message{
		worker:    w.name,
		address:   w.member.Address,
		throttles: map[string]int{},
		exchange:  infra.Exchange{OwnerEpoch: s.epoch, LeaseMS: lease.Milliseconds(), Since: w.since},
	}
	if w.incarnation != "" {
		m.exchange.Incarnation = w.incarnation
		m.exchange.ValidUntilMS = w.validUntilMS(now, s.limits.clockRate)
	}
	if w.reconciled {
		m.exchange.Orders = s.orders(w, m.throttles)
	}
	w.busy, w.soon = true, false
	w.next = now.Add(s.limits.Exchange.D())
	return m
}

// orders returns what the worker still has to be told.
func (s *Shard) orders(w *worker, throttles map[string]int) []infra.Order {
	var out []infra.Order
	for run, kind := range w.extra {
		out = append(out, infra.Order{Kind: kind, Run: run})
	}
	for id, j := range w.jobs {
		if o, ok := s.orderFor(j); ok {
			out = append(out, o)
		}
		if j.rec.State == task.Running && j.throttling() {
			throttles[id] = j.percent
			out = append(out, infra.Order{Kind: infra.OrderThrottle, Run: j.rec.RunID(), Percent: j.percent})
		}
	}
	return out
}

// orderFor returns the order that brings the job's run where it should be.
func (s *Shard) orderFor(j *job) (infra.Order, bool) {
	run := j.rec.RunID()
	switch {
	case j.rec.State == task.Starting && (!j.committing || s.faults.sendBeforeDurable):
		j.sent = true
		spec := j.rec.Spec
		return infra.Order{
			Kind: infra.OrderStart, Run: run, Resources: j.rec.Reservation(), Declared: spec.Resources,
			Class: spec.Class, WorkMS: spec.RunMS, Checkpoint: j.rec.Checkpoint,
		}, true
	case j.rec.State == task.Stopping:
		return infra.Order{Kind: infra.OrderStop, Run: run}, true
	case j.rec.State == task.Running && j.evict:
		return infra.Order{Kind: infra.OrderCheckpoint, Run: run}, true
	default:
		return infra.Order{}, false
	}
}

// answer takes in the outcome of an exchange.
func (s *Shard) answer(now time.Time, m message, reply infra.ExchangeReply, err error) {
	w := s.workers[m.worker]
	if w == nil {
		return
	}
	w.busy = false
	s.look = s.look || w.soon
	if err != nil {
		s.unanswered(now, w)
		return
	}
	if reply.Refused {
		event.WorkerRefused.Log(s.log, slog.String("worker", w.name), slog.Uint64("epoch", s.epoch))
		s.fenced = true
		return
	}
	w.hear(now, reply)
	if reply.Stale {
		s.look = true
		return
	}
	w.answered = now
	w.lost = false
	if !s.ready {
		return // nothing to compare the list with yet
	}
	w.since = reply.Seq
	s.acknowledge(w, m)
	for _, r := range reply.Runs {
		s.report(now, w, r)
	}
	if reply.FullList {
		s.reconcile(now, w, reply.Runs)
	} else {
		s.askWhole(w, m)
	}
	s.observe(now, w, reply)
	s.show(now, w)
}

// askWhole asks for the whole list when a stop was taken and its run was not
// reported: the start may never have arrived, and now can't any more.
func (s *Shard) askWhole(w *worker, m message) {
	for _, o := range m.exchange.Orders {
		j := w.jobs[o.Run.Job]
		if o.Kind == infra.OrderStop && j != nil && j.rec.State == task.Stopping && !j.committing {
			w.since = 0
			s.call(w)
		}
	}
}

// unanswered keeps the worker's backlog for the next attempt.
func (s *Shard) unanswered(now time.Time, w *worker) {
	if s.faults.lapseAtOnce {
		s.loseRuns(now, w)
	}
	s.show(now, w)
}

// acknowledge drops the orders that the worker has taken.
func (s *Shard) acknowledge(w *worker, m message) {
	for _, o := range m.exchange.Orders {
		if w.extra[o.Run] == o.Kind {
			delete(w.extra, o.Run)
		}
	}
	for id, percent := range m.throttles {
		if j := w.jobs[id]; j != nil {
			j.applied = percent
		}
	}
}

// reconcile compares the worker's whole list with the records: a run that was
// sent and is not on the list is over.
func (s *Shard) reconcile(now time.Time, w *worker, runs []infra.RunReport) {
	present := make(map[infra.RunID]struct{}, len(runs))
	for _, r := range runs {
		present[r.Run] = struct{}{}
	}
	for _, j := range w.jobs {
		if _, ok := present[j.rec.RunID()]; !ok && j.sent {
			s.lapse(now, w, j)
		}
	}
	if !w.reconciled {
		w.reconciled = true
		s.dirty = true
		event.WorkerReconciled.Log(s.log, slog.String("worker", w.name), slog.Int("runs", len(runs)))
	}
	if len(w.extra) > 0 {
		s.call(w)
	}
}

// observe passes usage on to the planner.
func (s *Shard) observe(now time.Time, w *worker, reply infra.ExchangeReply) {
	u := placement.Usage{Host: w.name, At: now, LatencyMS: reply.LatencyMS}
	for _, r := range reply.Runs {
		if r.State == infra.RunRunning {
			u.Jobs = append(u.Jobs, placement.JobUsage{Job: r.Run.Job, Used: r.Usage, DoneMS: r.DoneMS})
		}
	}
	if len(u.Jobs) > 0 || len(u.LatencyMS) > 0 {
		s.planner.Observe(u)
		s.dirty = true
	}
}
