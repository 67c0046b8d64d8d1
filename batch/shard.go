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

// limits are the settings that a shard's decisions need.
type limits struct {
	settings.Batch
	// taskLease is how long a run goes on without word from its owner.
	taskLease time.Duration
	clockRate float64
	retention time.Duration
}

// lapseAfter is how long after the last word a run is surely over. The owner counts
// longer than the worker does, by the clocks' difference and a buffer.
func (s *Shard) lapseAfter() time.Duration {
	lease := float64(s.limits.taskLease)
	if s.faults.noBuffer {
		return time.Duration(lease)
	}
	return time.Duration(lease*(1+s.limits.clockRate)) + leaseBuffer
}

// giveUpAfter is how long after the last word of a worker its runs are given
// up without knowing how they ended.
func (s *Shard) giveUpAfter() time.Duration {
	if s.faults.noBuffer {
		return s.lapseAfter()
	}
	return s.lapseAfter() + s.limits.taskLease/wordWithin
}

// change is a commit that a shard asks for. done is called on the control
// goroutine.
type change struct {
	conditions []infra.Condition
	writes     []infra.Write
	urgent     bool
	deadline   time.Time
	done       func(now time.Time, r infra.CommitResult)
}

// Shard is the state of one worker shard that this host owns. It is pure: its
// methods leave what is to be done in its outbox.
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
	// arriving are urgent jobs whose submission is committed with their start.
	arriving map[string]struct{}
	// retries are jobs whose late report waits for another commit.
	retries map[string]*job
	// quotas are the teams' quotas and allotments what this shard holds of
	// them.
	quotas     map[string]quota.Amount
	allotments map[string]*quota.Allotment
	// expected are jobs that other shards may hand over, and since when.
	expected            map[string]time.Time
	nextMove, nextCheck time.Time
	nextWant            time.Time
	// unknown are rows that the last rescan found of jobs not known here.
	unknown    map[string]uint64
	nextRescan time.Time
	rescanning bool

	// changes is the outbox of commits.
	changes []change
	// open counts changes that were not answered.
	open int
	// starting counts starts that were not answered.
	starting int
	// ready is set once the records were replayed.
	ready bool
	// fenced is set once a commit was refused because another host owns the
	// shard; the manager drops it.
	fenced bool
	// releasing is set during a hand-over: nothing new begins.
	releasing bool
	// dirty asks for a plan.
	dirty bool
	// heldUntil keeps plans back while the table refuses commits.
	heldUntil time.Time
	nextPlan  time.Time
	planned   time.Time
	// look asks for a search for exchanges that are due.
	look      bool
	pending   int
	running   int
	starts    uint64
	nextSweep time.Time
	// faults break a mechanism on purpose; only tests set them.
	faults faults
}

// faults are the mechanisms that tests can break, to see their checks fail.
type faults struct {
	// sendBeforeDurable sends a start before its commit is answered.
	sendBeforeDurable bool
	// noFence leaves the shard's row out of commits.
	noFence bool
	// noBuffer takes a run as over as soon as its lease is.
	noBuffer bool
	// adoptDeclared takes a run to reserve what its job declares.
	adoptDeclared bool
	// wholeQuota lets each shard take the whole of every quota, and looseQuota
	// divides without regard to changes of owner.
	wholeQuota, looseQuota bool
	// lapseAtOnce takes a run as over with the first exchange unanswered.
	lapseAtOnce bool
}

// newShard returns a shard that waits for its records.
func newShard(name string, epoch, version uint64, l limits, p placement.Planner, log *slog.Logger, m *metrics) *Shard {
	return &Shard{
		name:     name,
		epoch:    epoch,
		fence:    infra.Condition{Key: shardKey(name), Version: version},
		limits:   l,
		planner:  p,
		log:      log,
		metrics:  m,
		jobs:     map[string]*job{},
		workers:  map[string]*worker{},
		retries:  map[string]*job{},
		expected: map[string]time.Time{},
		arriving: map[string]struct{}{},

		allotments: map[string]*quota.Allotment{},
	}
}

// setPolicy brings other settings into force.
func (s *Shard) setPolicy(b settings.Batch, o placement.Options, quotas map[string]quota.Amount) {
	s.limits.Batch = b
	s.planner.SetPolicy(o)
	s.setQuotas(quotas)
	s.dirty = true
}

// load takes in the replayed records, as of now.
func (s *Shard) load(now time.Time, records []stored) {
	for _, row := range records {
		r := row.record
		j := &job{rec: r, version: row.version, queued: now}
		s.jobs[r.Spec.ID] = j
		switch {
		case r.State == task.Pending:
			s.enqueue(now, j)
		case r.State.Active():
			j.sent = true
			s.occupy(now, j)
		}
	}
	s.ready = true
	s.dirty = true
}

// enqueue hands a pending job to the planner.
func (s *Shard) enqueue(now time.Time, j *job) {
	s.pending++
	j.queued = now
	s.planner.Enqueue(now, j.rec.SpecWithFloor())
	s.dirty = true
}

// occupy records that an active job may run on its worker.
func (s *Shard) occupy(now time.Time, j *job) {
	w := s.worker(now, j.rec.Worker)
	w.jobs[j.rec.Spec.ID] = j
	s.running++
	s.show(now, w)
	size := j.rec.Reservation()
	if s.faults.adoptDeclared {
		size = j.rec.Spec.Resources
	}
	s.planner.AdoptSized(j.rec.SpecWithFloor(), w.name, size)
}

// vacate frees what the job's run occupied.
func (s *Shard) vacate(now time.Time, j *job, host string, done bool) {
	id := j.rec.Spec.ID
	if w := s.workers[host]; w != nil {
		delete(w.jobs, id)
	}
	s.running--
	s.planner.Release(now, id, done)
	j.sent, j.evict = false, false
	j.percent, j.applied, j.doneMS = 0, 0, 0
	s.dirty = true
}

// worker returns the worker's view, made when it is new.
func (s *Shard) worker(now time.Time, name string) *worker {
	w := s.workers[name]
	if w == nil {
		w = newWorker(name, now)
		s.workers[name] = w
	}
	return w
}

// live reports whether the shard may take on anything.
func (s *Shard) live() bool { return s.ready && !s.fenced && !s.releasing }
