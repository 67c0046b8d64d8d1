package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// ownerSim simulates hosts that replace each other as the owner of a domain, while
// earlier owners may still give orders. Hosts, links, workers, orders, commits and the
// store may fail. The course of events is determined by the seed.
type ownerSim struct {
	// faultSim holds the workers; its state is that of the newest owner.
	*faultSim
	hosts   []*simHost
	store   simStore
	members simMembers
	// only is the only host that may take the domain over, nil if any may.
	only *simHost
	// recordedDone holds the tasks whose successful end is in the committed rows.
	recordedDone map[workload.TaskID]bool
	// orderedOn holds, by task, the worker of the last start that was ordered.
	orderedOn map[workload.TaskID]*faultWorker
	// accepted holds the jobs whose row was ever committed, cancelled those to cancel.
	accepted  map[string]bool
	cancelled []string
	// renewalTraced holds, by epoch and worker, when a renewal was last traced.
	renewalTraced map[string]time.Time
}

// newOwnerSim returns a simulation of idle workers without random faults, once the
// first host owns the domain.
func newOwnerSim(t *testing.T, seed uint64, hosts, workers int) *ownerSim {
	s := idleOwnerSim(t, seed)
	s.begin(hosts, workers)
	return s
}

// newReturnOwnerSim is newOwnerSim with workers that may start again under their IDs.
func newReturnOwnerSim(t *testing.T, seed uint64) *ownerSim {
	s := idleOwnerSim(t, seed)
	s.maxLease, s.returns = returnLease, &workerReturns{}
	s.begin(ownerHosts, faultWorkers)
	return s
}

// idleOwnerSim returns a simulation without hosts and workers.
func idleOwnerSim(t *testing.T, seed uint64) *ownerSim {
	return &ownerSim{
		faultSim: &faultSim{
			rig:    &rig{t: t, now: time.Unix(1000, 0), rows: map[string][]byte{}, lease: election.Lease},
			random: rand.New(rand.NewPCG(seed, 11)), durablyDone: map[workload.TaskID]bool{}, noFaults: true,
		},
		members:      simMembers{entries: map[string]*memberEntry{}},
		recordedDone: map[workload.TaskID]bool{}, orderedOn: map[workload.TaskID]*faultWorker{}, accepted: map[string]bool{}, renewalTraced: map[string]time.Time{},
	}
}

// begin adds hosts and workers and advances the simulation until the first host owns the
// domain.
func (s *ownerSim) begin(hosts, workers int) {
	s.startedAt = s.now
	for i := range hosts {
		s.hosts = append(s.hosts, &simHost{name: fmt.Sprint("host", i), cutFromWorkersUntil: map[string]time.Time{}})
	}
	for range workers {
		s.addWorkerInRack()
	}
	s.only = s.hosts[0]
	s.run(3 * time.Second)
	s.only = nil
}

// rackSize is the number of workers in a rack.
const rackSize = 2

// addWorkerInRack adds a worker in a new incarnation, which shares its rack.
func (s *ownerSim) addWorkerInRack() {
	rack := len(s.workers) / rackSize
	s.addWorker()
	s.workers[len(s.workers)-1].info.Labels = []string{"kind", fmt.Sprint("rack", rack)}
}

// rackLabel returns the label of a worker's rack.
func rackLabel(w *faultWorker) string { return w.info.Labels[1] }

// id returns the ID of the host's current incarnation.
func (h *simHost) id() string { return fmt.Sprint(h.name, "-", h.incarnation) }

// mayLead reports whether a host may take the domain over.
func (s *ownerSim) mayLead(h *simHost) bool { return s.only == nil || s.only == h }

// onHost returns a function that runs f once the host's process runs, unless the
// process has ended.
func (s *ownerSim) onHost(h *simHost, f func()) func() {
	incarnation := h.incarnation
	var run func()
	run = func() {
		switch {
		case !h.alive(s.now) || h.incarnation != incarnation:
		case !h.awake(s.now):
			s.after(h.frozenUntil.Sub(s.now)+s.between(0, 2*testTick), run)
		default:
			f()
		}
	}
	return run
}

// run advances the simulation by d.
func (s *ownerSim) run(d time.Duration) {
	for range d / testTick {
		s.advance(testTick)
		s.runScheduled()
		s.advanceWorkers()
		s.injectOwnerFaults()
		s.updateMemberEntries()
		s.resubmit()
		for i, h := range s.hosts {
			switch {
			case !h.awake(s.now):
			case h.owner != nil:
				s.stepOwner(h.owner)
			default:
				s.watchRow(i, h)
			}
		}
		s.watchSentStarts()
		s.checkOnePlace()
	}
}

// runUntil advances the simulation until a condition holds, and fails the test if it
// doesn't within d.
func (s *ownerSim) runUntil(d time.Duration, what string, holds func() bool) {
	s.t.Helper()
	for range d / testTick {
		if holds() {
			return
		}
		s.run(testTick)
	}
	if !holds() {
		s.t.Fatalf("after %v: not %s\n%s", d, what, s.traceOf(workload.TaskID{Job: s.jobs[0].ID}))
	}
}

// current returns the owner that the store names, nil if no process runs it.
func (s *ownerSim) current() *simOwner {
	for _, h := range s.hosts {
		if o := h.owner; o != nil && s.store.row.SameOwnership(&o.record) {
			return o
		}
	}
	return nil
}

// resubmit passes the jobs that aren't durable, and the cancellations of jobs, to the
// current owner.
func (s *ownerSim) resubmit() {
	o := s.current()
	if o == nil || !o.host.awake(s.now) {
		return
	}
	for _, j := range s.jobs {
		if !s.accepted[j.ID] && !o.state.HasJob(j.ID) {
			o.state.Accept(s.now, s.now.UnixMilli(), j, queueOf(j))
		}
	}
	for _, id := range s.cancelled {
		o.state.Cancel(s.now, id)
	}
}

// queueOf returns the queue of a job.
func queueOf(j *workload.Job) workload.Queue {
	if j.Queue == queueLong.Name {
		return queueLong
	}
	return queueShort
}

// newRun returns the run that a start order asks for, which fails or is slow at random.
func (s *ownerSim) newRun(o runner.Start) *faultRun {
	i := slices.IndexFunc(s.jobs, func(j *workload.Job) bool { return j.ID == o.Task.Job })
	st := &s.jobs[i].Steps[o.Task.Step]
	r := &faultRun{number: o.Run, step: st, startedAt: s.now, duration: st.Estimate, fails: s.chance(failingRun)}
	if s.chance(slowRun) {
		r.duration *= slowRunFactor
	}
	return r
}
