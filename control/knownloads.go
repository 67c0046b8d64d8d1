package control

import (
	"sync"
	"time"

	"github.com/fireflygate/fireflygate/admission"
	"github.com/fireflygate/fireflygate/workload"
)

// maxLoadsAge is the age up to which a host refuses jobs by the owner's loads. It covers
// most takeovers, during which a backlog of many seconds doesn't drain.
const maxLoadsAge = 3 * time.Second

// knownLoads holds what a host knows of the loads of queues from the owner's answers, to
// refuse jobs while the owner can't be reached.
type knownLoads struct {
	mu      sync.Mutex
	byClass map[admission.Class]admission.Load
	// at is the earliest boottime at which the loads may have been observed.
	at time.Duration
	// unanswered is set if the last ping of the owner got no answer.
	unanswered bool
	// retries holds the virtual queue of this host's refused callers.
	retries map[admission.Class]*admission.RetryQueue
}

// hear replaces the loads by those of an answer to a ping that was sent at the boottime
// sentAt. The summary may be older than that by its age at the owner. A nil or malformed
// summary, or one that is too old, leaves no loads.
func (k *knownLoads) hear(s *loadSummary, sentAt time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.byClass = nil
	if s == nil || s.AgeMS < 0 || s.AgeMS > maxLoadsAge.Milliseconds() {
		return
	}
	k.at = sentAt - time.Duration(s.AgeMS)*time.Millisecond
	k.byClass = make(map[admission.Class]admission.Load, len(s.Classes))
	for i := range s.Classes {
		k.byClass[s.Classes[i].class()] = s.Classes[i].load()
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
	class := admission.ClassOf(q)
	load, ok := k.byClass[class]
	if !ok || at-k.at > maxLoadsAge || !load.Known() || admission.Exempt(spec, q) {
		return admission.Decision{}
	}
	job := admission.NewJob(now, now.UnixMilli(), spec, q, func(st *workload.Step) time.Duration { return st.Estimate })
	d := admission.Decide(now, load, job)
	if d.Verdict != admission.Refuse {
		return d
	}
	if k.retries == nil {
		k.retries = map[admission.Class]*admission.RetryQueue{}
	}
	if k.retries[class] == nil {
		k.retries[class] = &admission.RetryQueue{}
	}
	d.RetryAfter = k.retries[class].Assign(now, d, load, job)
	return d
}
