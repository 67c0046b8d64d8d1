package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

// newLeaseRig returns a rig of two workers that grant leases of up to returnLease, in a life
// with incarnation 1, and the one where the only start of a job got the given answer.
func newLeaseRig(t *testing.T, status runner.Status) (r *rig, id string) {
	t.Helper()
	r = &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}, maxLease: returnLease}
	r.startedAt = r.now
	r.startOwner(1)
	r.listLives(worker(0), 1)
	for i := range 2 {
		r.report(worker(i), nil, nil)
	}
	r.submit(queueShort, "job", step(1, 16))
	start := r.state.Plan(r.now).Starts[0]
	r.state.HandleStartAnswer(r.now, start, runner.Answer{Status: status})
	return r, start.Worker.ID
}

// listLives lists both workers, one of them with the given incarnation, the other with 1.
func (r *rig) listLives(id string, incarnation runner.Incarnation) {
	var list []runner.Worker
	for i := range 2 {
		w := workerInfo(worker(i))
		w.Incarnation = 1
		if w.ID == id {
			w.Incarnation = incarnation
		}
		list = append(list, w)
	}
	r.state.SetMembers(r.now, list)
	r.flush()
}

// wantStartAfter checks that the job starts elsewhere once a lease of duration d is over that
// was given now.
func (r *rig) wantStartAfter(id string, d time.Duration) {
	r.t.Helper()
	if waited := r.waitForStart(id, func() {}); waited < d || waited > d+time.Second {
		r.t.Errorf("started elsewhere after %v, want a little more than %v", waited, d)
	}
}

// TestLeaseOfListedNextLifeIsWaitedFor guards against a second run of a task: the next life of a
// worker has carried the start out, under a lease that it cut by its own clock, and none of its
// answers arrive.
func TestLeaseOfListedNextLifeIsWaitedFor(t *testing.T) {
	r, id := newLeaseRig(t, runner.Unknown)
	r.listLives(id, 2)
	r.wantStartAfter(id, returnLease)
}

// TestLostWorkerIsWaitedForNoLonger guards against a long wait for workers that crash without
// starting again after they have answered the start. If they haven't, a next life may have
// carried it out.
func TestLostWorkerIsWaitedForNoLonger(t *testing.T) {
	r, id := newLeaseRig(t, runner.Done)
	r.wantStartAfter(id, testLease)
}

// TestLeaseOfInheritedNextLifeIsWaitedFor is the same after a change of owner: the earlier owner
// knew of the next life, and of its lease.
func TestLeaseOfInheritedNextLifeIsWaitedFor(t *testing.T) {
	r, id := newLeaseRig(t, runner.Unknown)
	_, o, _ := r.state.Renewal(r.now, id, testLease)
	r.state.HandleReport(r.now, id, o, runner.Answer{Status: runner.Done, ClockMS: r.clock(), Incarnation: 2}, runner.Report{ClockMS: r.clock()})
	r.flush()
	r.takeOver(worker(0), worker(1))
	r.ownerStopped(1)
	r.listLives(id, 2)
	r.report(otherWorker(id), nil, nil)
	r.wantStartAfter(id, returnLease)
}

// TestLeaseOfReportedNextLifeIsForgotten guards against a long wait for a worker that had started
// again, after two changes of owner: it has reported to the first of the new owners.
func TestLeaseOfReportedNextLifeIsForgotten(t *testing.T) {
	r, id := newLeaseRig(t, runner.Unknown)
	_, o, _ := r.state.Renewal(r.now, id, testLease)
	r.state.HandleReport(r.now, id, o, runner.Answer{Status: runner.Done, ClockMS: r.clock(), Incarnation: 2}, runner.Report{ClockMS: r.clock()})
	r.flush()
	r.takeOver(worker(0), worker(1))
	r.listLives(id, 2)
	r.report(id, nil, nil)
	r.flush()
	r.takeOver(worker(0), worker(1))
	r.ownerStopped(1)
	r.ownerStopped(2)
	r.listLives(id, 2)
	r.report(otherWorker(id), nil, nil)
	r.wantStartAfter(id, testLease)
}
