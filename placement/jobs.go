package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// Enqueue adds a pending job; one that is already pending is replaced. A job
// that still occupies a host is queued once it is released, so that it is
// never placed twice.
func (s *Scheduler) Enqueue(_ time.Time, spec task.Spec) {
	if r, running := s.runs[spec.ID]; running {
		r.requeue = true
		r.spec = s.respecify(r, spec)
		return
	}
	if p, waiting := s.queue.jobs[spec.ID]; waiting {
		s.unqueue(p)
	}
	p := &pending{spec: spec, latestStart: s.latestStart(spec)}
	p.avoid = s.past.avoid(spec.ID)
	s.queue.add(p)
}

// respecify keeps what a running job is counted by.
func (s *Scheduler) respecify(r *run, spec task.Spec) task.Spec {
	spec.Team = r.spec.Team
	spec.Class = r.spec.Class
	spec.QoS = r.spec.QoS
	return spec
}

// latestStart is when the job must start to be done when it is due, by the
// learned run time; 0 if it is never due.
func (s *Scheduler) latestStart(spec task.Spec) int64 {
	due := s.dueUnixMS(spec)
	if due == 0 {
		return 0
	}
	return max(due-s.sizes.RunMS(spec), 1)
}

// Withdraw drops a pending job. What was remembered of it is forgotten.
func (s *Scheduler) Withdraw(job string) {
	if r, running := s.runs[job]; running {
		r.requeue = false
		return
	}
	if p, waiting := s.queue.jobs[job]; waiting {
		s.unqueue(p)
	}
	s.past.forget(job)
}

// unqueue takes a job out of the queue with what is held for it.
func (s *Scheduler) unqueue(p *pending) {
	s.dropNomination(p)
	s.queue.remove(p)
}

// Adopt records that a job occupies host, as replay or reconciliation found
// it. It is recorded even if it does not fit, and on a host not yet set.
func (s *Scheduler) Adopt(spec task.Spec, host string) {
	s.AdoptSized(spec, host, s.sizes.Size(spec))
}

// AdoptSized is Adopt where it is known what the run reserves.
func (s *Scheduler) AdoptSized(spec task.Spec, host string, size infra.Resources) {
	if r, running := s.runs[spec.ID]; running {
		s.vacate(r)
	}
	if p, waiting := s.queue.jobs[spec.ID]; waiting {
		s.unqueue(p)
	}
	n, known := s.nodes[host]
	if !known {
		n = &node{host: Host{Name: host, Unschedulable: unknownHost}}
		s.insert(n)
	}
	s.occupy(&run{spec: spec, size: size, percent: 100}, n)
}

// occupy records a run on a node everywhere that it is counted.
func (s *Scheduler) occupy(r *run, n *node) {
	n.add(r)
	s.runs[r.spec.ID] = r
	s.countSpread(r, 1)
	team := s.teams.get(r.spec.Team)
	team.used = team.used.Add(r.size)
	s.index.update(n)
}

// vacate undoes occupy.
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

// Release frees what a job occupies. With done, its run time and usage are
// learned from.
func (s *Scheduler) Release(now time.Time, job string, done bool) {
	r, running := s.runs[job]
	if !running {
		return
	}
	s.vacate(r)
	r.node.depart(r, now, s.memory())
	if done {
		s.learnRun(now, r)
		s.countDone(now, r.spec)
		s.past.forget(job)
	}
	if r.requeue && !done {
		s.Enqueue(now, r.spec)
	}
}

// learnRun learns from a run that ended well.
func (s *Scheduler) learnRun(now time.Time, r *run) {
	if r.reports > 0 {
		s.sizes.LearnSize(r.spec, r.peak)
	}
	took := r.doneMS
	if !r.started.IsZero() && !r.resumed {
		took = now.Sub(r.started).Milliseconds()
	}
	s.sizes.LearnRun(r.spec, took)
}

// RecordOOMKill records that the worker's guard killed the run of a job for the
// memory that it used. Call it before Release; later runs of the class get
// more at once.
func (s *Scheduler) RecordOOMKill(job string) {
	if r, running := s.runs[job]; running {
		s.sizes.RecordOOMKill(r.spec, r.size)
	}
}

// Avoid keeps a job off a host that it failed on.
func (s *Scheduler) Avoid(job, host string) {
	past := s.past.of(job)
	if past.avoid == nil {
		past.avoid = map[string]bool{}
	}
	past.avoid[host] = true
	if p, waiting := s.queue.jobs[job]; waiting {
		s.queue.remove(p)
		p.avoid = past.avoid
		s.queue.add(p)
	}
}
