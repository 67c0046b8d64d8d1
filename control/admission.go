package control

import (
	"log/slog"
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/admission"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/workload"
)

const (
	// loadsInterval is the interval at which the owner publishes the loads of queues. It
	// is short beside the interval of the pings that carry them.
	loadsInterval = 100 * time.Millisecond
	// maxLoadsAge is the age up to which a host refuses jobs by the owner's loads. It
	// covers most takeovers, within which a backlog of many seconds stays one.
	maxLoadsAge = 3 * time.Second
)

// Causes of refusals in metrics.
const (
	// refusedCapacity: the owner refused the job for lack of capacity.
	refusedCapacity = "capacity"
	// refusedSummary: another host did, by the owner's last summary.
	refusedSummary = "capacity_summary"
	refusedClosed  = "zones_closed"
	refusedStarts  = "start_backlog"
)

// queueLoad is the load of one queue, as the owner tells it to other hosts.
type queueLoad struct {
	Queue string `msgpack:"q"`
	// Ahead and Late are in core-milliseconds, Rate in core-milliseconds per second.
	Ahead int64   `msgpack:"a,omitempty"`
	Late  int64   `msgpack:"l,omitempty"`
	Rate  float64 `msgpack:"r,omitempty"`
	Full  bool    `msgpack:"f,omitempty"`
}

// load returns the load as admission takes it.
func (l *queueLoad) load() admission.Load {
	return admission.Load{Ahead: l.Ahead, Late: l.Late, Rate: l.Rate, Full: l.Full}
}

// loadSummary is the owner's summary of the loads of queues.
type loadSummary struct {
	Queues []queueLoad `msgpack:"q"`
	// AgeMS is the age of the summary at the owner, in milliseconds.
	AgeMS int64 `msgpack:"a"`
	// at is the boottime of the summary, madeAt the time by the owner's loop.
	at     time.Duration
	madeAt time.Time
}

// observeCapacity records the capacity after a planning cycle, and publishes the loads of
// queues to metrics and other hosts once per loadsInterval.
func (o *Owner) observeCapacity(now time.Time) {
	o.state.ObserveCapacity(now)
	last := o.loads.Load()
	if last != nil && now.Sub(last.madeAt) < loadsInterval {
		return
	}
	s := &loadSummary{at: boottime(), madeAt: now}
	o.state.Loads(now, func(queue string, l admission.Load) {
		s.Queues = append(s.Queues, queueLoad{Queue: queue, Ahead: l.Ahead, Late: l.Late, Rate: l.Rate, Full: l.Full})
	})
	if last != nil && len(last.Queues) != len(s.Queues) {
		o.opts.Metrics.clearLoads() // of queues to which admission no longer applies
	}
	for i := range s.Queues {
		o.opts.Metrics.setQueueLoad(&s.Queues[i])
	}
	o.loads.Store(s)
}

// toldLoads returns the loads of queues for an answer to a ping, nil if there are none.
func (o *Owner) toldLoads() *loadSummary {
	s := o.loads.Load()
	if s == nil || len(s.Queues) == 0 {
		return nil
	}
	return &loadSummary{Queues: s.Queues, AgeMS: (boottime() - s.at).Milliseconds()}
}

// refuseForCapacity returns the reply to a new job that is refused for lack of capacity. It
// returns false if the job isn't new or is accepted.
func (o *Owner) refuseForCapacity(spec *workload.Job, q workload.Queue) (reply, bool) {
	if o.state.HasJob(spec.ID) {
		return reply{}, false
	}
	now := time.Now()
	d := o.state.Admit(now, now.UnixMilli(), spec, q)
	if d.Verdict == admission.AcceptLate {
		o.opts.Metrics.acceptedLate.WithLabelValues(q.Name).Inc()
	}
	if d.Verdict != admission.Refuse {
		return reply{}, false
	}
	o.opts.recordRefusal(spec.ID, q.Name, refusedCapacity, d)
	return reply{Result: ResultRefused, RetryAfterMS: d.RetryAfter.Milliseconds()}, true
}

// recordRefusal logs and counts a job that was refused for lack of capacity.
func (o *Options) recordRefusal(job, queue, cause string, d admission.Decision) {
	event.CapacityExhausted.Log(o.Log, slog.String("job", job), slog.String("queue", queue), slog.String("cause", cause),
		slog.Int64("wait_ms", d.Wait.Milliseconds()), slog.Int64("retry_after_ms", d.RetryAfter.Milliseconds()))
	o.Metrics.refused(queue, cause)
	o.Metrics.retryDelay.Observe(d.RetryAfter.Seconds())
}

// knownLoads holds what a host knows of the loads of queues from the owner's answers, to
// refuse jobs while the owner can't be reached.
type knownLoads struct {
	mu     sync.Mutex
	byName map[string]admission.Load
	// at is a boottime before which the loads weren't newer.
	at time.Duration
	// unanswered is set if the last ping of the owner got no answer.
	unanswered bool
	// retries holds the virtual queue of this host's refused callers, by queue.
	retries map[string]*admission.RetryQueue
}

// hear replaces the loads by those of an answer to a ping that was sent at the boottime
// sentAt, of which the answer is at most as old as the summary says.
func (k *knownLoads) hear(s *loadSummary, sentAt time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.byName = nil
	if s == nil || s.AgeMS < 0 {
		return
	}
	k.at = sentAt - time.Duration(s.AgeMS)*time.Millisecond
	k.byName = make(map[string]admission.Load, len(s.Queues))
	for i := range s.Queues {
		k.byName[s.Queues[i].Queue] = s.Queues[i].load()
	}
}

// setUnanswered records whether the last ping of the owner got no answer.
func (k *knownLoads) setUnanswered(unanswered bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unanswered = unanswered
}

// decide decides on a job by the last loads. It accepts the job if they are older than
// maxLoadsAge at the boottime at, or say nothing of the queue.
func (k *knownLoads) decide(now time.Time, at time.Duration, spec *workload.Job, q *workload.Queue) admission.Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	load, ok := k.byName[q.Name]
	if !ok || at-k.at > maxLoadsAge || !load.Known() || admission.Exempt(spec, q) {
		return admission.Decision{}
	}
	job := admission.NewJob(now, now.UnixMilli(), spec, q, func(st *workload.Step) time.Duration { return st.Estimate })
	d := admission.Decide(now, load, job)
	if d.Verdict != admission.Refuse {
		return d
	}
	if k.retries == nil {
		k.retries = map[string]*admission.RetryQueue{}
	}
	if k.retries[q.Name] == nil {
		k.retries[q.Name] = &admission.RetryQueue{}
	}
	d.RetryAfter = k.retries[q.Name].Assign(now, d, load, job)
	return d
}

// refuseUnreachable returns the outcome of a submission that this host refuses for lack of
// capacity because the owner can't be reached. It returns false for other requests, for one
// that an owner may have executed, and while the owner can be reached: it decides then.
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
