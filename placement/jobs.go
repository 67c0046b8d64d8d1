package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// Enqueue adds a pending job, replacing one with the same ID. A job that still
// occupies a host is queued when it is released, so that it never runs twice.
func (s *Scheduler) Enqueue(_ time.Time, spec task.Spec) {
	if r, running := s.runs[spec.ID]; running {
		r.requeue = true
		r.spec = s.mergeSpec(r, spec)
		return
	}
	if p, waiting := s.queue.jobs[spec.ID]; waiting {
		s.dequeue(p)
	}
	p := &pending{spec: spec, latestStart: s.latestStart(spec)}
	p.avoid = s.history.avoid(spec.ID)
	s.queue.add(p)
}

// mergeSpec returns spec with the team, class and QoS of the run, by which its
// resources are already counted.
func (s *Scheduler) mergeSpec(r *run, spec task.Spec) task.Spec {
	spec.Team = r.spec.Team
	spec.Class = r.spec.Class
	spec.QoS = r.spec.QoS
	return spec
}

// latestStart returns when the job must start to finish by its due time, in
// Unix milliseconds; 0 if it is never due.
func (s *Scheduler) latestStart(spec task.Spec) int64 {
	due := s.dueUnixMS(spec)
	if due == 0 {
		return 0
	}
	return max(due-s.estimator.RunMS(spec), 1)
}

// Withdraw removes a pending job and its history. A running job is not queued
// again on its release.
func (s *Scheduler) Withdraw(job string) {
	if r, running := s.runs[job]; running {
		r.requeue = false
		return
	}
	if p, waiting := s.queue.jobs[job]; waiting {
		s.dequeue(p)
	}
	s.history.forget(job)
}

// dequeue removes a job from the queue together with its nomination.
func (s *Scheduler) dequeue(p *pending) {
	s.dropNomination(p)
	s.queue.remove(p)
}

// Adopt records that a job occupies host, as found by replay or
// reconciliation. It records the run even if it doesn't fit or the host was
// never set.
func (s *Scheduler) Adopt(spec task.Spec, host string) {
	s.AdoptSized(spec, host, s.estimator.Size(spec))
}

// AdoptSized is Adopt with a known reservation. It replaces an earlier run of the
// job and removes the job from the queue.
func (s *Scheduler) AdoptSized(spec task.Spec, host string, size infra.Resources) {
	if r, running := s.runs[spec.ID]; running {
		s.vacate(r)
	}
	if p, waiting := s.queue.jobs[spec.ID]; waiting {
		s.dequeue(p)
	}
	n, known := s.nodes[host]
	if !known {
		n = &node{host: Host{Name: host, Unschedulable: unknownHost}}
		s.insert(n)
	}
	s.occupy(&run{spec: spec, size: size, cpuLimit: 100}, n)
}

// occupy adds a run to its node and to all totals.
func (s *Scheduler) occupy(r *run, n *node) {
	n.add(r)
	s.runs[r.spec.ID] = r
	s.countSpread(r, 1)
	team := s.teams.get(r.spec.Team)
	team.used = team.used.Add(r.size)
	s.index.update(n)
}

// vacate reverts occupy.
func (s *Scheduler) vacate(r *run) {
	n := r.node
	s.countSpread(r, -1)
	n.remove(r)
	delete(s.runs, r.spec.ID)
	team := s.teams.get(r.spec.Team)
	team.used = team.used.Sub(r.size)
	s.refresh(n)
}

// countSpread counts a latency-critical run in its failure domains.
func (s *Scheduler) countSpread(r *run, by int) {
	if r.spec.QoS == task.LatencyCritical {
		s.spread.count(r.spec.Class, r.node.host, by)
	}
}

// Release frees what a job occupies. If done is set, its run time and usage
// are learned.
func (s *Scheduler) Release(now time.Time, job string, done bool) {
	r, running := s.runs[job]
	if !running {
		return
	}
	s.vacate(r)
	r.node.recordDeparture(r, now, s.departureRetention())
	if done {
		s.learnRun(now, r)
		s.countDone(now, r.spec)
		s.history.forget(job)
	}
	if r.requeue && !done {
		s.Enqueue(now, r.spec)
	}
}

// learnRun updates the estimates with a successful run.
func (s *Scheduler) learnRun(now time.Time, r *run) {
	if r.reports > 0 {
		s.estimator.LearnSize(r.spec, r.peak)
	}
	took := r.doneMS
	if !r.started.IsZero() && !r.resumed {
		took = now.Sub(r.started).Milliseconds()
	}
	s.estimator.LearnRun(r.spec, took)
}

// RecordOOMKill records that a job's run was killed for exceeding its memory.
// It must be called before Release; later runs of the class get more memory.
func (s *Scheduler) RecordOOMKill(job string) {
	if r, running := s.runs[job]; running {
		s.estimator.RecordOOMKill(r.spec, r.size)
	}
}

// Avoid keeps a job off a host on which it failed.
func (s *Scheduler) Avoid(job, host string) {
	history := s.history.of(job)
	if history.avoid == nil {
		history.avoid = map[string]bool{}
	}
	history.avoid[host] = true
	if p, waiting := s.queue.jobs[job]; waiting {
		s.queue.remove(p)
		p.avoid = history.avoid
		s.queue.add(p)
	}
}
