package dispatch_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// rig drives a State with simulated time, worker answers and commits.
type rig struct {
	t     *testing.T
	now   time.Time
	state *dispatch.State
	epoch uint64
	// rows holds the committed rows.
	rows map[string][]byte
	// earlier tracks until when earlier owners may give orders.
	earlier *election.EarlierOwners
	// epochsKnown is set once the committed owner's row says that the roster tells in
	// which epochs workers got leases.
	epochsKnown bool
	// startedAt is the time at which the workers' clocks start.
	startedAt time.Time
	// disabled names the policy mechanisms that are switched off.
	disabled mechanism.Set
	// lease is the duration of leases, maxLease the longest one that workers grant, 0 if the
	// State isn't told.
	lease, maxLease time.Duration
	// workerPace is set if the State learns the speed of workers.
	workerPace bool
	// jobs holds the submitted jobs.
	jobs []*workload.Job
	// ends is the last number given to an end by endSome.
	ends uint64
	// queues are those of each owner, queueShort and queueLong if it is nil.
	queues []workload.Queue
	// planned is called with each plan of the simulations; it may be nil.
	planned func(dispatch.Plan)
	// orders describes the orders that recordOrders was called with.
	orders []string
}

// sawPlan passes a plan on to planned.
func (r *rig) sawPlan(p dispatch.Plan) {
	if r.planned != nil {
		r.planned(p)
	}
}

// recordOrders records the orders of a plan, of which the stops are in no order.
func (r *rig) recordOrders(p dispatch.Plan) {
	first := len(r.orders)
	for _, o := range p.Stops {
		r.orders = append(r.orders, fmt.Sprint(r.sinceStart(), " stop ", o.Stop.Task, o.Stop.Run, " on ", o.Worker.ID, ": ", o.Cause))
	}
	slices.Sort(r.orders[first:])
	for _, o := range p.Starts {
		r.orders = append(r.orders, fmt.Sprint(r.sinceStart(), " start ", o.Start.Task, o.Start.Run, " on ", o.Worker.ID))
	}
}

// ownerRowBytes is the size of the owner's row in commits of a rig.
const ownerRowBytes = 16 << 10

const (
	pool     = "pool"
	testTick = 100 * time.Millisecond
	// testLease is the duration of workers' leases.
	testLease = 6 * time.Second
	// rigValidity is how long a replaced owner of a rig may give orders.
	rigValidity = 6 * time.Second
)

var queueShort = workload.Queue{
	Name: "short", Pool: pool, Priority: 0, MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond,
}

var queueLong = workload.Queue{
	Name: "long", Pool: pool, Priority: 2, MaxAttempts: 2, Stretch: 2, Target: time.Second,
}

// newRig returns a State whose workers have reported.
func newRig(t *testing.T, workers int) *rig {
	r := &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}}
	r.startedAt = r.now
	r.startOwner(1)
	r.members(workers)
	for i := range workers {
		r.report(worker(i), nil, nil)
	}
	return r
}

// startOwner replaces the State with that of a new owner.
func (r *rig) startOwner(epoch uint64) {
	r.epoch = epoch
	r.state = dispatch.New(dispatch.Config{
		Epoch: epoch, Lease: cmp.Or(r.lease, testLease), Retention: time.Minute,
		NoCapacityPause: 250 * time.Millisecond, TailBound: 4 * time.Second, Disabled: r.disabled,
		WorkerPace: r.workerPace, MaxLease: r.maxLease,
	})
	queues := r.queues
	if queues == nil {
		queues = []workload.Queue{queueShort, queueLong}
	}
	r.state.SetQueues(queues)
}

// takeOver replaces the State with that of the next owner, which restores the
// jobs from the committed rows and inherits the workers of the roster.
func (r *rig) takeOver(roster ...string) {
	r.startOwner(r.epoch + 1)
	r.replaceEarlierOwners()
	r.restore(roster...)
	r.epochsKnown = false
}

// restore restores the jobs from the committed rows and the workers of the roster.
func (r *rig) restore(roster ...string) {
	r.t.Helper()
	for _, key := range slices.Sorted(maps.Keys(r.rows)) {
		value := r.rows[key]
		if !strings.HasPrefix(key, dispatch.JobPrefix) {
			continue
		}
		job, err := dispatch.DecodeJobRow(value)
		if err != nil {
			r.t.Fatal(err)
		}
		r.state.RestoreJob(r.now, r.now.UnixMilli(), job, r.progress(&job.Job))
	}
	rows := r.rosterRows()
	for _, id := range roster {
		row := dispatch.RosterWorker{Worker: workerInfo(id), LeasedIn: rows[id].LeasedIn, NewLife: rows[id].NewLife}
		if w := rows[id].Worker; w.Incarnation != 0 {
			row.Incarnation, row.Address = w.Incarnation, w.Address
		}
		r.state.InheritWorker(row, r.epochsKnown)
	}
}

// progress returns the committed progress of a job, nil if there is none.
func (r *rig) progress(job *workload.Job) *dispatch.ProgressRow {
	r.t.Helper()
	value, ok := r.rows[dispatch.ProgressPrefix+job.ID]
	if !ok {
		return nil
	}
	pages := map[int][]byte{}
	for key, text := range r.rows {
		if id, page, ok := dispatch.ParsePageKey(key); ok && id == job.ID {
			pages[page] = text
		}
	}
	progress, err := dispatch.DecodeProgress(job, value, pages)
	if err != nil {
		r.t.Fatal(err)
	}
	return progress
}

// sinceStart returns the time since the workers' clocks started.
func (r *rig) sinceStart() time.Duration { return r.now.Sub(r.startedAt) }

// worker returns a worker's ID.
func worker(i int) string { return fmt.Sprintf("w%d", i) }

// workerInfo returns a worker of 16 cores and 64 GB.
func workerInfo(id string) runner.Worker {
	return runner.Worker{
		ID: id, Address: "10.0.0.1:80", Pool: pool, Labels: []string{"kind", "rack-" + id},
		Capacity: infra.Resources{MilliCPU: 16_000, MemoryMB: 64_000},
	}
}

// members lists n workers and commits the roster.
func (r *rig) members(n int) {
	var list []runner.Worker
	for i := range n {
		list = append(list, workerInfo(worker(i)))
	}
	r.state.SetMembers(r.now, list)
	r.flush()
}

// largeMembers lists n workers of 64 cores, all of which report.
func (r *rig) largeMembers(n int) {
	var list []runner.Worker
	for i := range n {
		w := workerInfo(worker(i))
		w.Capacity = infra.Resources{MilliCPU: 64_000, MemoryMB: 256_000}
		list = append(list, w)
	}
	r.state.SetMembers(r.now, list)
	r.flush()
	for i := range n {
		r.report(worker(i), nil, nil)
	}
}

// flush commits the owner's row with all changes.
func (r *rig) flush() {
	r.t.Helper()
	for first := true; first || r.state.HasUnflushedChanges() || r.state.AwaitsConfirmation(); first = false {
		b, err := r.state.Flush(r.now, 98)
		if err != nil {
			r.t.Fatal(err)
		}
		r.apply(b)
	}
}

// apply commits a batch at once.
func (r *rig) apply(b *dispatch.Batch) { r.applyCommit(b, r.now) }

// applyCommit applies a commit of a batch that began at the given time.
func (r *rig) applyCommit(b *dispatch.Batch, began time.Time) {
	r.write(b)
	r.epochsKnown = r.epochsKnown || b.RosterEpochs
	r.state.ConfirmOwnership(began)
	r.state.MarkFlushed(b)
}

// write writes the rows of a batch, which the store takes only within its limits.
func (r *rig) write(b *dispatch.Batch) {
	r.t.Helper()
	owner := infra.Write{Key: election.OwnerKey, Value: make([]byte, ownerRowBytes)}
	tx := infra.Transaction{Conditions: []infra.Condition{{Key: election.OwnerKey}}, Writes: append([]infra.Write{owner}, b.Writes...)}
	if err := infra.DefaultTableLimits().Check(&tx); err != nil {
		r.t.Fatalf("the store rejects a batch: %v", err)
	}
	for _, w := range b.Writes {
		if w.Delete {
			delete(r.rows, w.Key)
		} else {
			r.rows[w.Key] = w.Value
		}
	}
}

// roster returns the IDs of the workers in the committed roster, in order.
func (r *rig) roster() []string {
	return slices.Sorted(maps.Keys(r.rosterEpochs()))
}

// clock returns the reading of all workers' clocks.
func (r *rig) clock() int64 { return 1 + r.now.Sub(r.startedAt).Milliseconds() }

// report polls a worker, handles its answer with the given runs and ends, and
// returns the ends that were new.
func (r *rig) report(id string, active []runner.ActiveRun, ends []runner.RunEnd) []runner.RunEnd {
	r.t.Helper()
	_, o, ok := r.state.Renewal(r.now, id, testLease)
	if !ok {
		r.t.Fatalf("worker %s isn't known", id)
	}
	return r.state.HandleReport(r.now, id, o, runner.Answer{Status: runner.Done, ClockMS: r.clock()},
		runner.Report{ClockMS: r.clock(), Active: active, Ends: ends})
}

// noAnswer polls a worker and handles the poll as unanswered.
func (r *rig) noAnswer(id string) {
	r.t.Helper()
	_, o, ok := r.state.Renewal(r.now, id, testLease)
	if !ok {
		return
	}
	r.state.HandleReport(r.now, id, o, runner.Answer{Status: runner.Unknown}, runner.Report{})
}

// submit accepts and commits a job. If it has long-running tasks, submit also
// advances the time until they no longer wait for other jobs.
func (r *rig) submit(q workload.Queue, id string, steps ...workload.Step) {
	r.t.Helper()
	job := &workload.Job{ID: id, Queue: q.Name, Steps: steps, Submitted: r.now.UnixMilli()}
	if err := job.Validate(); err != nil {
		r.t.Fatal(err)
	}
	r.state.Accept(r.now, r.now.UnixMilli(), job, q)
	r.jobs = append(r.jobs, job)
	r.flush()
	for i := range steps {
		if steps[i].LongRunning {
			r.advance(arrivalQuietPeriod)
			return
		}
	}
}

// arrivalQuietPeriod is how long long-running tasks wait for other jobs.
const arrivalQuietPeriod = 100 * time.Millisecond

// step returns a step of n tasks of the given cores that take one second.
func step(n int, cores int64, change ...func(*workload.Step)) workload.Step {
	s := workload.Step{
		Tasks: n, Needs: infra.Resources{MilliCPU: cores * 1000, MemoryMB: 1000}, Estimate: time.Second,
		DisruptionBudget: -1,
	}
	for _, f := range change {
		f(&s)
	}
	return s
}

// longRunning marks a step's tasks as long-running.
func longRunning(s *workload.Step) { s.LongRunning = true }

// plan plans, answers every start with success and returns the starts. If the State
// awaits a confirmation, plan commits the owner's row and plans once more.
func (r *rig) plan() []dispatch.StartOrder {
	starts := r.state.Plan(r.now).Starts
	if r.state.AwaitsConfirmation() {
		r.state.ConfirmOwnership(r.now)
		starts = append(starts, r.state.Plan(r.now).Starts...)
	}
	for _, o := range starts {
		r.state.HandleStartAnswer(r.now, o, runner.Answer{Status: runner.Done, ClockMS: r.clock()})
	}
	return starts
}

// end returns the end of a started run.
func end(number uint64, o dispatch.StartOrder, kind runner.EndKind) runner.RunEnd {
	return runner.RunEnd{Number: number, Task: o.Start.Task, Run: o.Start.Run, Kind: kind}
}

// active returns a report of a started run.
func active(o dispatch.StartOrder) runner.ActiveRun {
	return runner.ActiveRun{Task: o.Start.Task, Run: o.Start.Run, Percent: 100}
}

func (r *rig) advance(d time.Duration) { r.now = r.now.Add(d) }

// wantState checks the state of a job as callers see it.
func (r *rig) wantState(id string, want workload.State) {
	r.t.Helper()
	got, ok := r.state.JobState(id)
	if !ok || got != want {
		r.t.Errorf("job %s is %v (known: %v), want %v", id, got, ok, want)
	}
}

// otherWorker returns the other of two workers.
func otherWorker(id string) string {
	if id == worker(0) {
		return worker(1)
	}
	return worker(0)
}

// waitForStart advances time while one worker is unresponsive and the other
// reports no runs, until something starts, and returns the time that took. It
// calls prepare before each step.
func (r *rig) waitForStart(unresponsive string, prepare func()) time.Duration {
	r.t.Helper()
	for waited := time.Duration(0); waited < 30*time.Second; waited += testTick {
		prepare()
		r.noAnswer(unresponsive)
		r.report(otherWorker(unresponsive), nil, nil)
		r.flush()
		if len(r.plan()) > 0 {
			return waited
		}
		r.advance(testTick)
	}
	r.t.Fatal("nothing started")
	return 0
}
