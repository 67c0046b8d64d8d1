package batch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/quota"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/task"
)

// limits are the settings that a shard uses.
type limits struct {
	settings.Batch
	// taskLease is how long a run continues after its last renewal.
	taskLease time.Duration
	clockRate float64
	retention time.Duration
}

// leaseExpiryDelay returns the time after a worker's last answer at which its
// runs have certainly ended: the lease, corrected for the clock rate, plus
// leaseBuffer.
func (s *Shard) leaseExpiryDelay() time.Duration {
	lease := float64(s.limits.taskLease)
	if s.faults.noBuffer {
		return time.Duration(lease)
	}
	return time.Duration(lease*(1+s.limits.clockRate)) + leaseBuffer
}

// runsLostDelay returns the time after a worker's last answer at which its runs
// are ended without a report.
func (s *Shard) runsLostDelay() time.Duration {
	if s.faults.noBuffer {
		return s.leaseExpiryDelay()
	}
	return s.leaseExpiryDelay() + s.limits.taskLease/lostRunsGraceDivisor
}

// change is a commit requested by a shard. done is called on the control
// goroutine.
type change struct {
	conditions []infra.Condition
	writes     []infra.Write
	urgent     bool
	deadline   time.Time
	done       func(now time.Time, r infra.CommitResult)
}

// Shard is the state of one worker shard that this host owns. It performs no
// I/O: its methods queue commits in changes and return the exchanges to send.
type Shard struct {
	name    string
	epoch   uint64
	fence   infra.Condition
	limits  limits
	planner placement.Planner
	log     *slog.Logger
	metrics *metrics

	jobs    map[string]*job
	workers map[string]*worker
	// committingUrgent are urgent jobs whose submission and start are being
	// committed together.
	committingUrgent map[string]struct{}
	// zoneClosed is set while the availability zone of the shard's workers is closed.
	zoneClosed bool
	// deferredReports are jobs whose deferred report is to be committed again.
	deferredReports map[string]*job
	// quotas are the teams' quotas; allotments are this shard's parts of them.
	quotas     map[string]quota.Amount
	allotments map[string]*quota.Allotment
	// expected holds the jobs accepted from other shards, with the time of
	// acceptance.
	expected                     map[string]time.Time
	nextOffer, nextExpectedCheck time.Time
	nextQuotaCheck               time.Time
	// unknownRows holds the row versions of unknown jobs found by the last
	// rescan.
	unknownRows map[string]uint64
	nextRescan  time.Time
	rescanning  bool

	// changes are the commits to send.
	changes []change
	// commitsInFlight is the number of changes without a result.
	commitsInFlight int
	// verifying is set while a commit of verifyOwnership is in flight.
	verifying bool
	// startsInFlight is the number of starts without a commit result.
	startsInFlight int
	// ready is set once the records are replayed.
	ready bool
	// fenced is set once the shard is known to have another owner, or its
	// state may differ from the table. The manager then drops it.
	fenced bool
	// releasing is set during a hand-over; no new work is started.
	releasing bool
	// planNeeded is set if something changed since the last plan.
	planNeeded bool
	// commitsPausedUntil delays new commits after one was refused.
	commitsPausedUntil time.Time
	nextPlan           time.Time
	lastPlan           time.Time
	// exchangesNeeded is set if an exchange may be due.
	exchangesNeeded bool
	pending         int
	running         int
	starts          uint64
	nextSweep       time.Time
	// faults disable mechanisms; only tests set them.
	faults faults
}

// faults disable mechanisms, so that tests can verify that their checks detect
// a missing mechanism.
type faults struct {
	// sendBeforeDurable sends a start before its commit is applied.
	sendBeforeDurable bool
	// noFence omits the condition on the shard's row from commits.
	noFence bool
	// noBuffer treats a run as ended as soon as its lease expires.
	noBuffer bool
	// adoptDeclared assumes the declared size as the reservation of a run.
	adoptDeclared bool
	// wholeQuota lets each shard use the whole of every quota; unfencedQuota
	// commits divisions even if shards have new owners.
	wholeQuota, unfencedQuota bool
	// lapseAtOnce treats a run as ended after one unanswered exchange.
	lapseAtOnce bool
}

// newShard returns a shard without records; load must follow.
func newShard(name string, epoch, version uint64, l limits, p placement.Planner, log *slog.Logger, m *metrics) *Shard {
	return &Shard{
		name:             name,
		epoch:            epoch,
		fence:            infra.Condition{Key: shardKey(name), Version: version},
		limits:           l,
		planner:          p,
		log:              log,
		metrics:          m,
		jobs:             map[string]*job{},
		workers:          map[string]*worker{},
		deferredReports:  map[string]*job{},
		expected:         map[string]time.Time{},
		committingUrgent: map[string]struct{}{},

		allotments: map[string]*quota.Allotment{},
	}
}

// setPolicy applies new settings.
func (s *Shard) setPolicy(b settings.Batch, o placement.Options, quotas map[string]quota.Amount) {
	s.limits.Batch = b
	s.planner.SetPolicy(o)
	s.setQuotas(quotas)
	s.planNeeded = true
}

// load adds the replayed records and makes the shard ready.
func (s *Shard) load(now time.Time, records []storedRecord) {
	for _, row := range records {
		r := row.record
		j := &job{rec: r, version: row.version, queuedAt: now}
		s.jobs[r.Spec.ID] = j
		switch {
		case r.State == task.Pending:
			s.enqueue(now, j)
		case r.State.Active():
			j.sent = true
			s.adoptRun(now, j)
		}
	}
	s.ready = true
	s.planNeeded = true
}

// enqueue adds a pending job to the planner's queue.
func (s *Shard) enqueue(now time.Time, j *job) {
	s.pending++
	j.queuedAt = now
	s.planner.Enqueue(now, j.rec.SpecWithFloor())
	s.planNeeded = true
}

// adoptRun records that an active job may be running on its worker.
func (s *Shard) adoptRun(now time.Time, j *job) {
	w := s.worker(now, j.rec.Worker)
	w.jobs[j.rec.Spec.ID] = j
	s.running++
	s.updatePlannerHost(now, w)
	size := j.rec.Reservation()
	if s.faults.adoptDeclared {
		size = j.rec.Spec.Resources
	}
	s.planner.AdoptSized(j.rec.SpecWithFloor(), w.name, size)
}

// freeRun releases the worker and reservation of a job's run, and resets the
// job's state of that run. done is set if the run completed its work.
func (s *Shard) freeRun(now time.Time, j *job, host string, done bool) {
	id := j.rec.Spec.ID
	if w := s.workers[host]; w != nil {
		delete(w.jobs, id)
	}
	s.running--
	s.planner.Release(now, id, done)
	j.sent, j.evict = false, false
	j.cpuLimit, j.ackedCPULimit, j.doneMS = 0, 0, 0
	s.planNeeded = true
}

// worker returns the state of a worker, creating it if necessary.
func (s *Shard) worker(now time.Time, name string) *worker {
	w := s.workers[name]
	if w == nil {
		w = newWorker(name, now, now.Add(s.leaseExpiryDelay()))
		s.workers[name] = w
	}
	return w
}

// acceptsWork reports whether the shard may start new work.
func (s *Shard) acceptsWork() bool { return s.ready && !s.fenced && !s.releasing }
