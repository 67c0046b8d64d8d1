package batch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/task"
)

// message is an exchange to send to one worker.
type message struct {
	worker   string
	address  string
	exchange infra.Exchange
	// cpuLimits are the CPU limits in the orders, by job.
	cpuLimits map[string]int
}

// messages returns the exchanges that are due, at most one per worker. While the
// table is read for the replay, exchanges renew leases without orders, so that
// runs survive an outage of the table. A lease ends at the latest taskLease after
// the worker's last answer, so that unanswered exchanges don't extend the time
// until the runs have certainly ended. A worker whose leases have expired gets a
// full lease, so that it can still report its runs.
func (s *Shard) messages(now time.Time) []message {
	if s.fenced || s.releasing || !s.exchangesNeeded {
		return nil
	}
	s.exchangesNeeded = false
	var out []message
	for _, w := range s.workers {
		if w.exchangeInFlight || w.member.Address == "" || (!w.exchangeNow && now.Before(w.nextExchange)) {
			continue
		}
		remaining := w.lastAnswered.Add(s.limits.taskLease).Sub(now)
		if w.leasesExpired {
			remaining = s.limits.taskLease
		}
		if remaining < time.Millisecond {
			continue // the lease must expire; it can't be renewed any more
		}
		out = append(out, s.message(now, w, remaining))
	}
	return out
}

// message builds the worker's next exchange with the given lease. It marks the
// exchange as in flight and schedules the following one.
func (s *Shard) message(now time.Time, w *worker, lease time.Duration) message {
	m := message{
		worker:    w.name,
		address:   w.member.Address,
		cpuLimits: map[string]int{},
		exchange:  infra.Exchange{OwnerEpoch: s.epoch, LeaseMS: lease.Milliseconds(), Since: w.lastSeq},
	}
	if w.incarnation != "" {
		m.exchange.Incarnation = w.incarnation
		m.exchange.ValidUntilMS = w.validUntilMS(now, s.limits.clockRate)
	}
	if w.awaitsRuns() {
		m.exchange.Since = 0 // their end is found by full lists
	}
	if w.reconciled {
		m.exchange.Orders = s.orders(w, m.cpuLimits)
	}
	w.exchangeInFlight, w.exchangeNow = true, false
	w.nextExchange = now.Add(s.limits.Exchange.D())
	return m
}

// orders returns the orders that the worker has not acknowledged. It adds the
// CPU limits in these orders to cpuLimits, by job.
func (s *Shard) orders(w *worker, cpuLimits map[string]int) []infra.Order {
	var out []infra.Order
	for run, kind := range w.extraOrders {
		out = append(out, infra.Order{Kind: kind, Run: run})
	}
	for id, j := range w.jobs {
		if w.hasElsewhere(j) {
			continue
		}
		if o, ok := s.orderFor(j); ok {
			out = append(out, o)
		}
		if j.rec.State == task.Running && j.needsCPULimitOrder() {
			cpuLimits[id] = j.cpuLimit
			out = append(out, infra.Order{Kind: infra.OrderThrottle, Run: j.rec.RunID(), Percent: j.cpuLimit})
		}
	}
	return out
}

// orderFor returns the order that brings the job's run to the state required by
// its record, if one is needed. It marks a start as sent.
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

// handleReply handles the reply to an exchange, or its error.
func (s *Shard) handleReply(now time.Time, m message, reply infra.ExchangeReply, err error) {
	w := s.workers[m.worker]
	if w == nil {
		return
	}
	w.exchangeInFlight = false
	s.exchangesNeeded = s.exchangesNeeded || w.exchangeNow
	if err != nil {
		s.handleNoReply(now, w)
		return
	}
	if reply.Refused {
		s.handleRefusal(now, w)
		return
	}
	w.refuses = false
	if m.address != w.member.Address {
		s.handleEarlierReply(now, w, reply)
		return
	}
	w.recordIncarnation(now, reply)
	s.exchangesNeeded = s.exchangesNeeded || w.exchangeNow
	if reply.Stale {
		return
	}
	w.lastAnswered = now
	w.leasesExpired = false
	if !s.ready {
		return // reports can't be handled before the replay
	}
	w.lastSeq = reply.Seq
	s.acknowledge(w, m)
	for _, r := range reply.Runs {
		s.handleReport(now, w, r)
	}
	if reply.FullList {
		s.reconcile(now, w, reply.Runs)
	} else {
		s.requestFullList(w, m)
	}
	s.reportUsage(now, w, reply)
	s.updatePlannerHost(now, w)
}

// handleRefusal handles that the worker has received a higher epoch: that of a newer owner
// of the shard, which a commit will tell, or of an owner of the shard that it was listed in
// before. In the latter case it takes no orders until it starts again.
func (s *Shard) handleRefusal(now time.Time, w *worker) {
	if !w.refuses {
		event.WorkerRefused.Log(s.log, slog.String("worker", w.name), slog.Uint64("epoch", s.epoch))
	}
	w.refuses = true
	s.updatePlannerHost(now, w)
	s.verifyOwnership()
}

// handleEarlierReply handles a reply from an address that the worker isn't listed at any
// more: only what it says of runs is of use.
func (s *Shard) handleEarlierReply(now time.Time, w *worker, reply infra.ExchangeReply) {
	s.requestExchange(w)
	if !s.ready || reply.Stale {
		return
	}
	for _, r := range reply.Runs {
		s.handleReport(now, w, r)
	}
}

// requestFullList requests the full list of runs if a stop was acknowledged but
// the end of its run was not reported. The start may never have arrived, and can
// no longer take effect.
func (s *Shard) requestFullList(w *worker, m message) {
	for _, o := range m.exchange.Orders {
		j := w.jobs[o.Run.Job]
		if o.Kind == infra.OrderStop && j != nil && j.rec.State == task.Stopping && !j.committing {
			w.lastSeq = 0
			s.requestExchange(w)
		}
	}
}

// handleNoReply updates the planner's state of a worker that did not reply.
// Unacknowledged orders are repeated with the next exchange.
func (s *Shard) handleNoReply(now time.Time, w *worker) {
	if s.faults.lapseAtOnce {
		s.loseRuns(now, w)
	}
	s.updatePlannerHost(now, w)
}

// acknowledge records that the worker has received the orders of an exchange:
// extra orders are not repeated, and CPU limits are in effect.
func (s *Shard) acknowledge(w *worker, m message) {
	for _, o := range m.exchange.Orders {
		if w.extraOrders[o.Run] == o.Kind {
			delete(w.extraOrders, o.Run)
		}
	}
	for id, percent := range m.cpuLimits {
		if j := w.jobs[id]; j != nil {
			j.ackedCPULimit = percent
		}
	}
}

// reconcile compares the worker's full list of runs with the records. A run that
// was sent and is not on the list has ended, or ends with its lease if it is at an
// earlier address.
func (s *Shard) reconcile(now time.Time, w *worker, runs []infra.RunReport) {
	present := make(map[infra.RunID]struct{}, len(runs))
	for _, r := range runs {
		present[r.Run] = struct{}{}
	}
	for _, j := range w.jobs {
		_, listed := present[j.rec.RunID()]
		elsewhere := w.hasElsewhere(j)
		if !listed && (j.sent || elsewhere) && (!elsewhere || !now.Before(w.elsewhereUntil)) {
			s.expireRun(now, w, j)
		}
	}
	if !w.reconciled {
		w.reconciled = true
		s.planNeeded = true
		event.WorkerReconciled.Log(s.log, slog.String("worker", w.name), slog.Int("runs", len(runs)))
	}
	if len(w.extraOrders) > 0 {
		s.requestExchange(w)
	}
}

// reportUsage passes the reported usage to the planner.
func (s *Shard) reportUsage(now time.Time, w *worker, reply infra.ExchangeReply) {
	u := placement.Usage{Host: w.name, At: now, LatencyMS: reply.LatencyMS}
	for _, r := range reply.Runs {
		if r.State == infra.RunRunning {
			u.Jobs = append(u.Jobs, placement.JobUsage{Job: r.Run.Job, Used: r.Usage, DoneMS: r.DoneMS})
		}
	}
	if len(u.Jobs) > 0 || len(u.LatencyMS) > 0 {
		s.planner.Observe(u)
		s.planNeeded = true
	}
}
