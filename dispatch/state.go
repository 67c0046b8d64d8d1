package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/closedzones"
	"github.com/fireflygate/fireflygate/colocate"
	"github.com/fireflygate/fireflygate/headroom"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/runtimes"
	"github.com/fireflygate/fireflygate/workload"
)

// State is the whole state of one scheduling domain.
type State struct {
	cfg    Config
	queues map[string]workload.Queue
	jobs   map[string]*job
	// ended holds the jobs that ended a while ago, endedOrder their IDs in the order of their
	// ends.
	ended      map[string]endedJob
	endedOrder []string
	// heldBytes is about how much memory the jobs need, heldByQueue by their queues.
	heldBytes   int64
	heldByQueue map[string]int64
	// open holds the jobs that haven't ended, in order of acceptance.
	open    []*job
	workers map[string]*worker
	// closedZones is the set of availability zones whose workers get no starts.
	closedZones closedzones.Set
	// sortedWorkers holds the workers in order of their IDs, nil after a
	// change.
	sortedWorkers []*worker
	// awaitingReport holds the inherited workers that may have runs of
	// inherited jobs and haven't reported yet.
	awaitingReport map[string]*worker
	// awaitedLostAt is when one of them was last lost.
	awaitedLostAt time.Time
	// rosterEpochs is set once a batch has said that the roster tells in which epochs
	// workers got leases; firstFlushAt is when the first batch was collected.
	rosterEpochs bool
	firstFlushAt time.Time
	// earlierOrders tells until when earlier owners may give orders.
	earlierOrders []EarlierOrders
	nextRun       uint64
	// topToken is the highest fencing token given to any worker.
	topToken uint64
	// longRunningAcceptedAt is when a job with long-running tasks was last
	// accepted.
	longRunningAcceptedAt time.Time
	// changeCount counts changes of workers, see markChanged.
	changeCount uint64
	dirty       []*job
	// dirtyRosterParts holds the parts of the roster to write again.
	dirtyRosterParts map[int]bool
	// rosterAside holds the parts that the table service has rejected, with the times from
	// which they may be written again.
	rosterAside map[int]time.Time
	// orphans holds the keys of rows that belong to no job.
	orphans []string
	stops   []StopOrder
	// model estimates the interference of best-effort tasks with serving tasks.
	model *colocate.Model
	// estimatesChanged is set if the model has changed since
	// estimatesFlushedAt.
	estimatesChanged   bool
	estimatesFlushedAt time.Time
	// expiredFlushedAt is when jobs to remove were last searched for.
	expiredFlushedAt time.Time
	// runTimes estimates run times.
	runTimes runtimes.Model
	// pace tracks the speed of the workers, nil if Config.WorkerPace isn't set.
	pace *paceState
	// colocated is the storage of the colocation of one worker at a time, for reuse.
	colocated colocation
	// copiesCheckedAt is when a cycle last looked for runs to copy.
	copiesCheckedAt time.Time
	// limitedCheckedAt is when a cycle last looked for jobs that wait for a limited start.
	limitedCheckedAt time.Time
	// removedWorkers counts the workers removed so far.
	removedWorkers uint64
	// removedUnwritten counts, by part of the roster, the removed workers that the durable
	// roster may still name.
	removedUnwritten map[int]int
	// roster describes the inherited roster.
	roster rosterSize
	// lives counts the lives of workers known so far; newLives holds what TakeNewLives
	// returns next.
	lives    uint64
	newLives []NewLife
	// demand is the demand of best-effort tasks, computed at demandAt.
	demand   *bestEffortDemand
	demandAt time.Time
	// headroom tracks, by pool, what short tasks need.
	headroom map[string]*headroom.Tracker
	// attributedAt is when time was last attributed to the open jobs; outcomes
	// holds what TakeJobOutcomes returns next.
	attributedAt time.Time
	outcomes     []JobOutcome
	// confirmation tracks the commits that were applied.
	confirmation confirmation
	// commitOverdue is set while a commit takes unusually long.
	commitOverdue bool
	// refusedToken is what RefusedToken returns.
	refusedToken RefusedToken
	// losses holds what TakeWorkerLosses returns next.
	losses []WorkerLoss
	// standing holds the long-running tasks without a run that works, standingFound what
	// TakeStandingTasks returns next.
	standing      map[*task]*standing
	standingFound StandingTasks
	// findings holds what TakeFindings returns next.
	findings []Finding
	// unreadable holds the jobs of earlier owners whose rows can't be decoded.
	unreadable map[string]*unreadableJob
	// crashedUnder holds, by the hash of a lost worker's ID, the tasks that record
	// its loss. inheritedRuns holds, by the same hash, the tasks of which a run may be
	// alive on a worker of an earlier owner that hasn't reported.
	crashedUnder, inheritedRuns map[uint32][]*task
	heldStarts                  []heldStart
	// exhausted holds the tasks under which too many workers crashed, until it is
	// decided whether their jobs are given up; givenUp holds what TakeGivenUpJobs
	// returns next.
	exhausted []*task
	givenUp   []GivenUpJob
	// outages holds when workers became unresponsive lately.
	outages []outage
	// shares holds the pools in which a queue has a guaranteed share, nil if there are none
	// or sharesChanged is set; sharesVersion counts its changes.
	shares        map[string]*sharedPool
	sharesChanged bool
	sharesVersion uint64
	// claims holds the claims of queues below their guaranteed shares, reclaims what was
	// reclaimed lately or is being stopped for them, see reclaim.go.
	claims        map[string]*claim
	reclaims      []reclaimed
	reclaimBuffer reclaimBuffer
	preemptBuffer preemptBuffer
	// searchFrom is the index of the worker with which the next limited search begins.
	searchFrom int
	// lastCycle is the last planning cycle until ObserveCapacity uses it.
	lastCycle *cycle
	// backlogs holds what admission knows of each class of queues.
	backlogs backlogs
	Stats    Stats
}

// New returns the state of a domain without jobs or workers.
func New(cfg Config) *State {
	return &State{
		cfg:      cfg,
		model:    colocate.NewModelWithout(cfg.Disabled),
		pace:     newPaceState(&cfg),
		headroom: map[string]*headroom.Tracker{}, dirtyRosterParts: map[int]bool{}, rosterAside: map[int]time.Time{}, removedUnwritten: map[int]int{},
		queues: map[string]workload.Queue{},
		jobs:   map[string]*job{},
		ended:  map[string]endedJob{}, heldByQueue: map[string]int64{},
		unreadable:     map[string]*unreadableJob{},
		workers:        map[string]*worker{},
		claims:         map[string]*claim{},
		standing:       map[*task]*standing{},
		awaitingReport: map[string]*worker{},
		crashedUnder:   map[uint32][]*task{}, inheritedRuns: map[uint32][]*task{},
		nextRun: cfg.Epoch << epochShift, topToken: cfg.Epoch << epochShift,
	}
}

// SetQueues replaces the queues. Jobs of a removed queue keep its last policy.
func (s *State) SetQueues(queues []workload.Queue) {
	s.queues = make(map[string]workload.Queue, len(queues))
	for _, q := range queues {
		s.queues[q.Name] = q
	}
	s.backlogs.setQueues(s.admissionQueues())
	s.runTimes.Forget(func(name string) bool {
		_, ok := s.queues[name]
		return ok
	})
	for _, j := range s.open {
		if q, ok := s.queues[j.queue.Name]; ok {
			j.queue = q
		}
	}
	s.shares, s.sharesChanged = nil, true
}

// SetCommitOverdue records whether the commit in flight takes unusually long. Tasks whose
// stop can wait aren't stopped then, as they couldn't start again until it is applied.
func (s *State) SetCommitOverdue(overdue bool) { s.commitOverdue = overdue }

// SetBounds replaces the retention of jobs and the bound on tails.
func (s *State) SetBounds(retention, tailBound time.Duration) {
	s.cfg.Retention, s.cfg.TailBound = retention, tailBound
}

// Accept adds a job. It is accepted once a flush that holds it is durable. A
// job that is already known isn't changed.
func (s *State) Accept(now time.Time, wallNow int64, spec *workload.Job, q workload.Queue) {
	if s.HasJob(spec.ID) {
		return
	}
	j := newJob(now, wallNow, spec, q, s.expectedIn(q))
	j.oversized = s.exceedsWorkers(j)
	if j.longRunning {
		s.longRunningAcceptedAt = now
	}
	s.addJob(j)
	s.open = append(s.open, j)
	s.backlogs.jobAccepted(now, j)
	s.markDirty(j)
	s.Stats.Accepted++
}

// Cancel cancels a job. It returns false if the job isn't known.
func (s *State) Cancel(now time.Time, id string) bool {
	j := s.jobs[id]
	if j == nil {
		return s.HasJob(id)
	}
	if !j.state.Final() {
		s.finish(now, j, workload.Cancelled)
	}
	return true
}

// JobState returns the state of a job that callers may see: a final state only
// once it is durable. It returns false if the job isn't known or its row isn't
// durable yet.
func (s *State) JobState(id string) (workload.State, bool) {
	if e, ok := s.ended[id]; ok {
		return e.state, true
	}
	j := s.jobs[id]
	if j == nil || !j.rowStored {
		return workload.Queued, false
	}
	if j.state.Final() && j.durable != j.state {
		return workload.InProgress, true
	}
	return j.state, true
}

// FailureReason returns why a job has failed, empty if it hasn't or isn't known.
func (s *State) FailureReason(id string) string {
	if j := s.jobs[id]; j != nil {
		return j.reason
	}
	return s.ended[id].reason
}

// HasJob reports whether the job is known, durable or not.
func (s *State) HasJob(id string) bool {
	_, ended := s.ended[id]
	return ended || s.jobs[id] != nil
}

// JobStored reports whether the job's row is durable.
func (s *State) JobStored(id string) bool {
	if j := s.jobs[id]; j != nil {
		return j.rowStored
	}
	return s.HasJob(id)
}

// JobFlushed reports whether no change of the job waits to become durable.
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

// finish moves a job to a final state and stops its runs.
func (s *State) finish(now time.Time, j *job, state workload.State) {
	j.state = state
	j.finishedAt = now
	s.markDirty(j)
	if !j.expiryReported {
		s.reportOutcome(now, j)
	}
	j.eachTask(func(t *task) {
		for _, r := range slices.Clone(t.runs) {
			s.orderStop(now, r, JobEnded)
		}
	})
	for i, o := range s.open {
		if o == j {
			s.open = append(s.open[:i:i], s.open[i+1:]...)
			break
		}
	}
}

// markStarted records that a task of the job has started. It becomes durable,
// so that a later owner restarts the job's long-running tasks first.
func (s *State) markStarted(j *job) {
	if j.state == workload.Queued {
		j.state = workload.InProgress
		s.markDirty(j)
	}
}

// markDirty records that the job's progress isn't durable.
func (s *State) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// orderStop orders a run to stop, unless that was done within stopRetryInterval
// or the run's start is uncertain. A run whose start can still be withdrawn is
// released instead: its worker never learns of it.
func (s *State) orderStop(now time.Time, r *run, cause StopCause) {
	if r.phase == stopping && now.Sub(r.stopOrderedAt) < stopRetryInterval {
		return
	}
	if r.phase == uncertain {
		return // resolved first, by a poll under a higher token
	}
	if r.phase == ordered && r.withdraw() {
		s.releaseRun(now, r, NotSent)
		return
	}
	if r.phase != stopping {
		r.task.step.job.breakdown.Stopped++
	}
	r.phase = stopping
	r.stopOrderedAt, r.stopCause = now, cause
	s.markChanged(r.worker)
	s.stops = append(s.stops, StopOrder{
		Worker: r.worker.info, To: r.worker.addressee(now),
		Stop:     runner.Stop{Task: r.task.id(), Run: r.number, Token: r.worker.token},
		Cause:    cause,
		Snapshot: r.worker.snapshot(now),
	})
}

// stopRetryInterval is how long a stop may take before it is ordered again; a
// few times the usual maximum.
const stopRetryInterval = time.Second
