package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/admission"
	"github.com/fireflygate/fireflygate/workload"
)

// backlogs holds the backlog of each class of queues to which admission applies, in order
// of pool and priority. It is empty if there are none.
type backlogs struct {
	all []*backlog
	// aheadAt is when the work ahead was last counted.
	aheadAt time.Time
}

// backlog is what the jobs of one pool and priority compete with: the queues of the pool
// with the same or a higher priority.
type backlog struct {
	class admission.Class
	// ahead is the remaining work, in core-milliseconds, of the open jobs that haven't
	// expired and end by themselves; late is the part of it that comes after a new job
	// which can be on time: of the same priority and late already.
	ahead, late int64
	// completed is the work completed since the last cycle, in core-milliseconds.
	completed int64
	rate      admission.Rate
	retries   admission.RetryQueue
	// blocked is a step that waits for lack of capacity, as of causeAt, nil if none does.
	blocked *step
	causeAt time.Time
	// fullSince is the first of the latest cycles in a row after which a task waited for
	// lack of capacity, zero if none did after the last one, at cycleAt.
	fullSince, cycleAt time.Time
}

const (
	// fullAfter is how long tasks must wait for lack of capacity until a pool is full.
	fullAfter = time.Second
	// maxCycleGap is the time between two planning cycles beyond which the earlier ones no
	// longer count: the owner couldn't plan, such as during an outage of the store.
	maxCycleGap = time.Second
	// backlogInterval is how long the count of the work ahead and the cause of a wait are
	// reused, since both visit all jobs or workers. Accepted and completed work is added
	// and subtracted in between.
	backlogInterval = 100 * time.Millisecond
	// maxCauseChecks bounds the steps of which the cause is found in one cycle, each of
	// which visits all workers.
	maxCauseChecks = 4
)

// setQueues selects the classes of queues to which admission applies: those of queues with
// a latency objective whose pool also serves a queue of another priority. What was
// observed of a class that remains is kept.
func (b *backlogs) setQueues(queues map[string]workload.Queue) {
	old := b.all
	b.all, b.aheadAt = nil, time.Time{}
	shared := sharedByPriorities(queues)
	for _, q := range queues {
		if !admission.HasObjective(&q) || !shared[q.Pool] || b.of(&q) != nil {
			continue
		}
		next := &backlog{class: admission.ClassOf(&q)}
		if i := slices.IndexFunc(old, func(l *backlog) bool { return l.is(&q) }); i >= 0 {
			next = old[i]
		}
		b.all = append(b.all, next)
	}
	slices.SortFunc(b.all, func(l, m *backlog) int {
		return cmp.Or(cmp.Compare(l.class.Pool, m.class.Pool), cmp.Compare(l.class.Priority, m.class.Priority))
	})
}

// sharedByPriorities returns the pools that serve queues of more than one priority.
func sharedByPriorities(queues map[string]workload.Queue) map[string]bool {
	priority, shared := map[string]int{}, map[string]bool{}
	for _, q := range queues {
		if first, seen := priority[q.Pool]; !seen {
			priority[q.Pool] = q.Priority
		} else if first != q.Priority {
			shared[q.Pool] = true
		}
	}
	return shared
}

// of returns the backlog of a queue's class, nil if admission doesn't apply to it.
func (b *backlogs) of(q *workload.Queue) *backlog {
	for _, l := range b.all {
		if l.is(q) {
			return l
		}
	}
	return nil
}

func (l *backlog) is(q *workload.Queue) bool { return l.class == admission.ClassOf(q) }

// includes reports whether the jobs of a queue come before new jobs of the class.
func (l *backlog) includes(q *workload.Queue) bool {
	return l.class.Pool == q.Pool && q.Priority <= l.class.Priority
}

// taskCompleted records that a task of a step is done.
func (b *backlogs) taskCompleted(now time.Time, st *step) {
	j := st.job
	if len(b.all) == 0 || j.longRunning || j.oversized {
		return
	}
	work := st.work(1)
	for _, l := range b.all {
		if l.includes(&j.queue) {
			l.completed += work
			l.add(now, j, st.occurrence, -work)
		}
	}
}

// add adds remaining work of an occurrence of a job, unless that has expired.
func (l *backlog) add(now time.Time, j *job, o *occurrence, work int64) {
	if now.After(j.expiry(o)) {
		return
	}
	l.ahead += work
	if j.queue.Priority == l.class.Priority && now.After(j.objective(o)) {
		l.late += work
	}
}

// jobAccepted records that a job was accepted.
func (b *backlogs) jobAccepted(now time.Time, j *job) {
	if len(b.all) == 0 || j.longRunning || j.oversized {
		return
	}
	for _, o := range j.occurrences {
		if o.due.After(now) {
			break
		}
		if o.unfinishedSteps == 0 {
			continue
		}
		work := o.remainingWork()
		for _, l := range b.all {
			if l.includes(&j.queue) {
				l.add(now, j, o, work)
			}
		}
	}
}

// countBacklogs counts the work ahead of all classes, at most once per backlogInterval.
func (s *State) countBacklogs(now time.Time) {
	b := &s.backlogs
	if len(b.all) == 0 || (!b.aheadAt.IsZero() && now.Sub(b.aheadAt) < backlogInterval) {
		return
	}
	b.aheadAt = now
	for _, l := range b.all {
		l.ahead, l.late = 0, 0
	}
	for _, j := range s.open {
		b.jobAccepted(now, j)
	}
}
