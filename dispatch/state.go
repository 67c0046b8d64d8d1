package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/colocate"
	"github.com/fireflygate/fireflygate/headroom"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// State is the whole state of one scheduling domain.
type State struct {
	cfg    Config
	queues map[string]workload.Queue
	jobs   map[string]*job
	// open are the jobs that aren't over, in order of acceptance.
	open    []*job
	workers map[string]*worker
	// sorted holds the workers in the order of IDs, nil once one has come or gone.
	sorted []*worker
	// awaited are workers whose first report decides where runs of inherited
	// jobs are alive.
	awaited map[string]*worker
	nextRun uint64
	// topToken is the highest fencing token that any worker was given.
	topToken uint64
	// lastingAt is when a job with long-running tasks was last accepted.
	lastingAt time.Time
	// changes counts changes of workers, see changed.
	changes uint64
	dirty   []*job
	// rosterChanged holds the parts of the durable roster to write again.
	rosterChanged map[int]bool
	stops         []StopOrder
	// model holds what fillers do to those who serve.
	model *colocate.Model
	// learned is set by what was learned since lessonsAt.
	learned   bool
	lessonsAt time.Time
	// wanted is the fillers' work as counted at wantedAt.
	wanted   *wanted
	wantedAt time.Time
	// headroom remembers what short work needs, by pool.
	headroom map[string]*headroom.Tracker
	// accountedAt is when the jobs' ledgers were last booked, over what is to be
	// told of jobs.
	accountedAt time.Time
	over        []JobOutcome
	Stats       Stats
}

// New returns the state of a domain without jobs or workers.
func New(cfg Config) *State {
	return &State{
		cfg:      cfg,
		model:    colocate.NewModelWithout(cfg.Disabled),
		headroom: map[string]*headroom.Tracker{}, rosterChanged: map[int]bool{},
		queues:  map[string]workload.Queue{},
		jobs:    map[string]*job{},
		workers: map[string]*worker{},
		awaited: map[string]*worker{},
		nextRun: cfg.Epoch << epochShift, topToken: cfg.Epoch << epochShift,
	}
}

// SetQueues replaces the queues; jobs of a queue that is gone keep its last
// policy.
func (s *State) SetQueues(queues []workload.Queue) {
	s.queues = make(map[string]workload.Queue, len(queues))
	for _, q := range queues {
		s.queues[q.Name] = q
	}
	for _, j := range s.open {
		if q, ok := s.queues[j.queue.Name]; ok {
			j.queue = q
		}
	}
}

// SetBounds replaces the retention of jobs and the bound on tails.
func (s *State) SetBounds(retention, tailBound time.Duration) {
	s.cfg.Retention, s.cfg.TailBound = retention, tailBound
}

// Accept takes a job in; it is accepted once a flush that holds it is
// durable. A job that is known already is left as it is.
func (s *State) Accept(now time.Time, wallNow int64, spec *workload.Job, q workload.Queue) {
	if s.jobs[spec.ID] != nil {
		return
	}
	j := newJob(now, wallNow, spec, q)
	if j.lasting {
		s.lastingAt = now
	}
	s.jobs[spec.ID] = j
	s.open = append(s.open, j)
	s.touch(j)
	s.Stats.Accepted++
}

// Cancel cancels a job; false if it isn't known.
func (s *State) Cancel(now time.Time, id string) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	if !j.state.Final() {
		s.finish(now, j, workload.Cancelled)
	}
	return true
}

// JobState returns what may be told of a job: a final state only once it is
// durable. False if the job isn't known or its row isn't durable yet.
func (s *State) JobState(id string) (workload.State, bool) {
	j := s.jobs[id]
	if j == nil || !j.rowStored {
		return workload.Queued, false
	}
	if j.state.Final() && j.durable != j.state {
		return workload.InProgress, true
	}
	return j.state, true
}

// HasJob reports whether the job is known, durable or not.
func (s *State) HasJob(id string) bool { return s.jobs[id] != nil }

// JobStored reports whether the job is durable.
func (s *State) JobStored(id string) bool {
	j := s.jobs[id]
	return j != nil && j.rowStored
}

// JobFlushed reports whether nothing of the job waits to become durable.
func (s *State) JobFlushed(id string) bool {
	j := s.jobs[id]
	return j == nil || (j.rowStored && !j.dirty && j.durable == j.state)
}

// PendingJobs counts a queue's jobs of which no task has started.
func (s *State) PendingJobs(queue string) int {
	n := 0
	for _, j := range s.open {
		if j.queue.Name == queue && j.state == workload.Queued {
			n++
		}
	}
	return n
}

// TasksAhead counts the tasks that may start and come before a new job of a
// queue: those of its own priority and of higher ones.
func (s *State) TasksAhead(q workload.Queue) int {
	n := 0
	for _, j := range s.open {
		if j.queue.Priority > q.Priority {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.ready() {
					n += st.idle
				}
			}
		}
	}
	return n
}

// finish ends a job in a final state and stops what still runs of it.
func (s *State) finish(now time.Time, j *job, state workload.State) {
	j.state = state
	j.overAt = now
	s.touch(j)
	if !j.toldLost {
		s.tellOver(now, j)
	}
	j.eachTask(func(t *task) {
		for _, r := range t.runs {
			s.stop(now, r, JobEnded)
		}
	})
	for i, o := range s.open {
		if o == j {
			s.open = append(s.open[:i:i], s.open[i+1:]...)
			break
		}
	}
}

// begin marks that a task of the job has started. That becomes durable, so
// that a later owner puts the job's long-running tasks back first.
func (s *State) begin(j *job) {
	if j.state == workload.Queued {
		j.state = workload.InProgress
		s.touch(j)
	}
}

// touch marks a job's progress as not yet durable.
func (s *State) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// stop orders a run to stop, unless that was done within stopRepeat.
func (s *State) stop(now time.Time, r *run, cause StopCause) {
	if r.phase == stopping && now.Sub(r.stopAt) < stopRepeat {
		return
	}
	if r.phase == uncertain {
		return // its worker is asked first, under a higher token
	}
	if r.phase != stopping {
		r.task.step.job.ledger.Stopped++
	}
	r.phase = stopping
	r.stopAt, r.stopCause = now, cause
	s.changed(r.worker)
	s.stops = append(s.stops, StopOrder{
		Worker:   r.worker.info,
		Stop:     runner.Stop{Task: r.task.id(), Run: r.number, Token: r.worker.token},
		Cause:    cause,
		Snapshot: r.worker.evidence(now),
	})
}

// stopRepeat is how long a stop may stay without an end before it is ordered
// again; a few times what a stop takes at most.
const stopRepeat = time.Second
