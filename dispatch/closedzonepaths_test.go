package dispatch_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// closeZoneOf closes the zone of a worker of a zone rig.
func (r *rig) closeZoneOf(id string) {
	r.t.Helper()
	n, err := strconv.Atoi(strings.TrimPrefix(id, "w"))
	if err != nil {
		r.t.Fatal(err)
	}
	r.state.SetClosedZones(r.now, closed(1, zoneOf(n)))
}

// startOnly plans and returns the only start, which its worker has carried out and
// reported.
func (r *rig) startOnly() dispatch.StartOrder {
	r.t.Helper()
	starts := r.plan()
	if len(starts) != 1 {
		r.t.Fatalf("%d starts, want 1", len(starts))
	}
	r.report(starts[0].Worker.ID, []runner.ActiveRun{active(starts[0])}, nil)
	return starts[0]
}

// endOnly reports the end of a run that is the only one on its worker.
func (r *rig) endOnly(o dispatch.StartOrder, kind runner.EndKind, checkpoint string) {
	r.t.Helper()
	e := end(1, o, kind)
	e.Checkpoint = checkpoint
	r.report(o.Worker.ID, nil, []runner.RunEnd{e})
	r.flush()
}

// secondStarts are the ways in which a task gets another start, or its start is held or
// repeated. Each brings the task of job "job" to that point, closes the zone of the
// worker that would get the start, and returns that worker.
var secondStarts = map[string]func(r *rig) string{
	"a lasting task that ended": func(r *rig) string {
		r.submit(queueShort, "job", step(1, 4, longRunning))
		first := r.startOnly()
		r.closeZoneOf(first.Worker.ID)
		r.endOnly(first, runner.EndFailed, "")
		return first.Worker.ID
	},
	"a task that failed": func(r *rig) string {
		r.submit(queueLong, "job", step(1, 4))
		first := r.startOnly()
		r.endOnly(first, runner.EndFailed, "")
		other := worker(1)
		if first.Worker.ID == other {
			other = worker(0)
		}
		r.closeZoneOf(other)
		return other
	},
	"a stopped task with a checkpoint": func(r *rig) string {
		r.submit(queueLong, "job", step(1, 4, func(s *workload.Step) { s.Checkpointing = true }))
		first := r.startOnly()
		r.closeZoneOf(first.Worker.ID)
		r.endOnly(first, runner.EndStopped, "saved")
		return first.Worker.ID
	},
	"a moved best-effort task": func(r *rig) string {
		r.submit(queueLong, "job", step(1, 4, func(s *workload.Step) { s.BestEffort, s.Image, s.Checkpointing = true, "batch", true }))
		first := r.startOnly()
		r.closeZoneOf(first.Worker.ID)
		r.endOnly(first, runner.EndStopped, "saved")
		return first.Worker.ID
	},
	"a gang that broke": func(r *rig) string {
		r.submit(queueShort, "job", step(1, 4, func(s *workload.Step) { s.Gang = true }))
		first := r.startOnly()
		r.closeZoneOf(first.Worker.ID)
		r.endOnly(first, runner.EndGangBroken, "")
		return first.Worker.ID
	},
	"a start refused for lack of capacity": func(r *rig) string { return r.closeAfterAnswer(runner.NoCapacity) },
	"a start refused by an unhealthy worker": func(r *rig) string {
		return r.closeAfterAnswer(runner.Unhealthy)
	},
	"a start that wasn't sent": func(r *rig) string { return r.closeAfterAnswer(runner.NotSent) },
	"a start without an answer": func(r *rig) string {
		id := r.closeAfterAnswer(runner.Unknown)
		r.report(id, nil, nil) // under a higher token: it wasn't carried out
		return id
	},
	"a held start": func(r *rig) string {
		r.submit(queueShort, "job", step(1, 4))
		r.crashUnder(zonesInTest)
		r.flush()
		if starts := r.plan(); len(starts) != 0 {
			r.t.Fatalf("%d starts, want one that is held", len(starts))
		}
		held := r.state.HeldWorkers()
		if len(held) != 1 {
			r.t.Fatalf("held starts for %v, want one", held)
		}
		r.closeZoneOf(held[0])
		return held[0]
	},
	"a start after a takeover": func(r *rig) string {
		r.submit(queueShort, "job", step(1, 4))
		first := r.startOnly()
		r.endOnly(first, runner.EndStopped, "")
		r.takeOver(r.roster()...)
		r.closeZoneOf(first.Worker.ID)
		r.listZones(zonesInTest)
		for i := range zonesInTest {
			r.report(worker(i), nil, nil)
		}
		return first.Worker.ID
	},
}

// closeAfterAnswer has a worker give the answer to the start of job "job", and closes its
// zone.
func (r *rig) closeAfterAnswer(status runner.Status) string {
	r.t.Helper()
	r.submit(queueShort, "job", step(1, 4))
	o := r.state.Plan(r.now).Starts[0]
	r.closeZoneOf(o.Worker.ID)
	r.state.HandleStartAnswer(r.now, o, runner.Answer{Status: status, ClockMS: r.clock()})
	return o.Worker.ID
}

// TestNextStartAvoidsClosedZone checks for each way to another start that it goes to an
// open zone, and does go there.
func TestNextStartAvoidsClosedZone(t *testing.T) {
	for name, prepare := range secondStarts {
		t.Run(name, func(t *testing.T) {
			r := newZoneRig(t, zonesInTest)
			avoid := prepare(r)
			started := 0
			for range 5 * time.Second / testTick {
				r.advance(testTick)
				r.flush()
				for _, o := range r.plan() {
					started++
					if o.Worker.ID == avoid {
						t.Fatalf("%v started on %s, whose zone is closed", o.Start.Task, avoid)
					}
				}
			}
			if started == 0 {
				t.Error("nothing started, though two zones are open")
			}
		})
	}
}

// TestNextStartWaitsForClosedZone checks, for ways to another start of which a worker that
// failed or refused one is left out for a while anyway, that the start waits while the
// only worker's zone is closed, and goes there once it is open.
func TestNextStartWaitsForClosedZone(t *testing.T) {
	for _, name := range []string{"a lasting task that ended", "a start refused for lack of capacity", "a start refused by an unhealthy worker"} {
		t.Run(name, func(t *testing.T) {
			r := newZoneRig(t, 1)
			secondStarts[name](r)
			starts := func() int {
				n := 0
				for range 10 * time.Second / testTick {
					r.advance(testTick)
					r.report(worker(0), nil, nil)
					r.flush()
					n += len(r.plan())
				}
				return n
			}
			if n := starts(); n > 0 {
				t.Errorf("%d starts in the closed zone", n)
			}
			r.state.SetClosedZones(r.now, closed(2))
			if n := starts(); n == 0 {
				t.Error("nothing started once the zone is open")
			}
		})
	}
}

// TestCopyAvoidsClosedZone checks that the second run of a slow speculative task isn't
// started in a closed zone.
func TestCopyAvoidsClosedZone(t *testing.T) {
	for _, isClosed := range []bool{true, false} {
		r := newZoneRig(t, 2)
		r.submit(queueShort, "slow", step(1, 4, func(s *workload.Step) { s.Speculative = true }))
		first := r.startOnly()
		other := otherWorker(first.Worker.ID)
		if isClosed {
			r.closeZoneOf(other)
		}
		r.advance(3 * time.Second) // three times the estimate
		r.report(first.Worker.ID, []runner.ActiveRun{{Task: first.Start.Task, Run: first.Start.Run, Percent: 1}}, nil)
		r.report(other, nil, nil)
		if starts := r.plan(); (len(starts) == 0) != isClosed {
			t.Errorf("zone closed %v: got starts %+v", isClosed, starts)
		}
	}
}

// TestPreemptedCapacityOfClosedZone checks that a task whose victims were stopped doesn't
// start in their place once that zone is closed.
func TestPreemptedCapacityOfClosedZone(t *testing.T) {
	r := newZoneRig(t, 1)
	r.submit(queueLong, "victim", step(1, 16, func(s *workload.Step) { s.Checkpointing = true }))
	victim := r.startOnly()
	r.submit(queueShort, "urgent", step(1, 16))
	var stops []dispatch.StopOrder
	for range 10 {
		r.advance(testTick)
		stops = append(stops, r.state.Plan(r.now).Stops...)
	}
	if len(stops) == 0 {
		t.Fatal("nothing was preempted")
	}
	r.closeZoneOf(worker(0))
	r.endOnly(victim, runner.EndStopped, "saved")
	for range 10 {
		r.advance(testTick)
		if starts := r.plan(); len(starts) > 0 {
			t.Fatalf("%v started in the closed zone", starts[0].Start.Task)
		}
	}
	r.state.SetClosedZones(r.now, closed(2))
	if starts := r.plan(); len(starts) == 0 || starts[0].Start.Task.Job != "urgent" {
		t.Errorf("got starts %+v once the zone is open, want the urgent task", starts)
	}
}

// TestPermitOfClosedZone checks that a permit for a worker doesn't outweigh its closed
// zone, and that no permit is asked for workers there.
func TestPermitOfClosedZone(t *testing.T) {
	r := newZoneRig(t, 1)
	q := queueShort
	q.NeedsPermit = true
	r.state.SetQueues([]workload.Queue{q})
	r.submit(q, "job", step(1, 4))
	request, ok := r.state.NextPermitRequest(r.now)
	if !ok {
		t.Fatal("no permit is asked for")
	}
	r.state.HandlePermits(r.now, request, runner.Permits{Tickets: map[string]string{worker(0): "permit"}, Valid: time.Minute}, nil)
	r.closeZoneOf(worker(0))
	if starts := r.plan(); len(starts) > 0 {
		t.Errorf("started with a permit in the closed zone: %+v", starts)
	}
	r.submit(q, "another", step(1, 4))
	r.advance(time.Second)
	if request, ok := r.state.NextPermitRequest(r.now); ok {
		t.Errorf("permits are asked for %v", request.Workers)
	}
	r.state.Cancel(r.now, "another")
	r.state.SetClosedZones(r.now, closed(2))
	if starts := r.plan(); len(starts) != 1 {
		t.Errorf("%d starts once the zone is open, want the one with a permit", len(starts))
	}
}
