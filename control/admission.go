package control

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/admission"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/workload"
)

// refuseForCapacity returns the reply to a new job that is refused for lack of capacity,
// and false for one that isn't.
func (o *Owner) refuseForCapacity(spec *workload.Job, q workload.Queue) (reply, bool) {
	now := time.Now()
	d := o.state.Admit(now, now.UnixMilli(), spec, q)
	if d.Verdict == admission.AcceptLate {
		o.opts.Metrics.acceptedLate.WithLabelValues(q.Name).Inc()
	}
	if d.Verdict != admission.Refuse {
		return reply{}, false
	}
	o.opts.recordRefusal(spec.ID, q.Name, refusedCapacity, d)
	return refusal(d.RetryAfter), true
}

// recordRefusal logs and counts a job that was refused for lack of capacity.
func (o *Options) recordRefusal(job, queue, cause string, d admission.Decision) {
	event.CapacityExhausted.Log(o.Log, slog.String("job", job), slog.String("queue", queue), slog.String("cause", cause),
		slog.Int64("wait_ms", d.Wait.Milliseconds()), slog.Int64("retry_after_ms", d.RetryAfter.Milliseconds()))
	o.Metrics.refused(queue, cause)
	o.Metrics.retryDelay.Observe(d.RetryAfter.Seconds())
}

// refuseUnreachable returns the outcome of a submission that this host refuses for lack of
// capacity while the owner can't be reached. It returns false for other requests, for a
// submission that an owner may have executed, and while the owner can be reached, as the
// owner decides then.
func (n *Node) refuseUnreachable(t *outcomeTracker, request any) (Outcome, bool) {
	q, ok := request.(submitRequest)
	if !ok || t.uncertain || n.opts.Disabled.Has(mechanism.Admission) || !n.ownerUnreachable() {
		return Outcome{}, false
	}
	d := n.loads.decide(time.Now(), boottime(), &q.Job, &q.Queue)
	if d.Verdict != admission.Refuse {
		return Outcome{}, false
	}
	n.opts.recordRefusal(q.Job.ID, q.Queue.Name, refusedSummary, d)
	return Outcome{Result: ResultRefused, RetryAfter: d.RetryAfter}, true
}

// ownerUnreachable reports whether another host owns the domain and doesn't answer, or no
// owner is known.
func (n *Node) ownerUnreachable() bool {
	owner, leader, _ := n.current()
	if owner != nil {
		return false
	}
	n.loads.mu.Lock()
	defer n.loads.mu.Unlock()
	return leader.Host == "" || n.loads.unanswered
}
