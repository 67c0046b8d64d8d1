package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/task"
)

const shardElsewhere = "wk/elsewhere/0"

// twoZones starts hosts a and b. Host a owns the shard of w0, in the zone "zone", host b
// that of w1, in the zone "elsewhere".
func (r *rig) twoZones() (a, b *node) {
	r.members[1].Zone = "elsewhere"
	return r.twoOwners(shard, shardElsewhere)
}

// closeZones closes zones on all hosts, and opens all others.
func (r *rig) closeZones(zones ...string) {
	for _, n := range r.nodes {
		n.SetClosedZones(zones)
	}
	r.advanceTime(0)
}

// usePlanner makes the hosts place jobs with the planner of the product.
func (r *rig) usePlanner() {
	r.newPlanner = func() placement.Planner {
		return placement.New(placement.Options{Seed: 1, Colocation: settings.Default().Colocation})
	}
}

// TestClosedZoneStartsNothing checks that a job in a closed zone waits, with its cause,
// while what runs there goes on; that urgent jobs wait too; that a new owner keeps to it;
// and that the jobs start once the zone is open.
func TestClosedZoneStartsNothing(t *testing.T) {
	bubble(t, 1, func(r *rig) {
		r.usePlanner()
		a := r.node("a")
		r.own(a)
		r.advanceTime(2 * time.Second)
		r.submit(a, spec("before", time.Hour))
		r.advanceTime(2 * time.Second)
		r.closeZones("zone")
		urgent := spec("urgent", time.Minute)
		urgent.Urgent = true
		r.submit(a, urgent)
		r.submit(a, spec("waits", time.Minute))
		r.advanceTime(20 * time.Second)
		r.expectState(a, "before", task.Running)
		r.expectState(a, "waits", task.Pending)
		r.expectState(a, "urgent", task.Pending)
		if s, kind, _ := a.Show(r.t.Context(), "waits"); kind != outcome.Answered || !strings.Contains(s.Explanation, "1 zone closed") {
			r.t.Errorf("explanation %q, want that the zone is closed", s.Explanation)
		}
		a.kill()
		b := r.node("b")
		b.SetClosedZones([]string{"zone"})
		r.own(b)
		r.advanceTime(20 * time.Second)
		r.expectState(b, "before", task.Running)
		r.expectState(b, "waits", task.Pending)
		r.closeZones()
		r.advanceTime(2 * time.Second)
		r.expectState(b, "waits", task.Running)
		r.expectState(b, "urgent", task.Running)
	})
}

// TestJobsLeaveClosedZone checks that waiting jobs of a closed zone move to an open one,
// also while jobs wait there, and that new jobs go there at once.
func TestJobsLeaveClosedZone(t *testing.T) {
	bubble(t, 2, func(r *rig) {
		a, b := r.twoZones()
		for i := range 5 {
			reply, _ := b.submitLocal(r.t.Context(), submitRequest{Shard: shardElsewhere, Spec: spec(fmt.Sprint("there", i), 20*time.Second)})
			if reply.Code != submitAccepted {
				r.t.Fatalf("submission: %+v", reply)
			}
		}
		r.closeZones("zone")
		r.submitJobs(a, 3)
		for i := range 4 {
			r.submit(a, spec(fmt.Sprint("new", i), time.Second))
		}
		r.advanceTime(15 * time.Second)
		if n := a.Counts().Pending; n != 0 {
			r.t.Errorf("%d jobs wait in the closed zone, want none", n)
		}
		r.advanceTime(2 * time.Minute)
		for i := range 3 {
			r.expectState(a, fmt.Sprint("j", i), task.Done)
		}
		for _, run := range r.workers.history {
			if run.worker == "w0" {
				r.t.Errorf("%v ran in the closed zone", run.run)
			}
		}
	})
}
