package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/task"
)

// Plan returns at most limit actions for now. It relieves latency-critical
// classes that miss their objectives, then drains hosts ahead of events, then
// starts pending jobs in order of rank, evicting batch runs for urgent jobs
// that fit nowhere.
func (s *Scheduler) Plan(now time.Time, limit int) []Action {
	s.now = now
	p := &plan{now: now, limit: limit}
	s.expireNominations(now)
	s.updateWindows(now)
	s.relieve(p)
	s.drain(p)
	s.placePending(p)
	s.consolidate(p)
	return p.actions
}

// plan is a plan under construction.
type plan struct {
	now     time.Time
	limit   int
	actions []Action
	// refusals counts, by class, the jobs refused because of their impact.
	refusals map[string]int
}

// maxRefused is the number of refused jobs of a class after which the rest of
// the class isn't tried in the same plan.
const maxRefused = 8

// refuse records a job refused because of its impact.
func (p *plan) refuse(class string) verdict {
	if p.refusals == nil {
		p.refusals = map[string]int{}
	}
	p.refusals[class]++
	return wouldInterfere
}

// remaining returns how many more actions the plan may contain.
func (p *plan) remaining() int { return p.limit - len(p.actions) }

func (p *plan) add(a Action) { p.actions = append(p.actions, a) }

// placePending tries groups by rank. If the first job of a group can't be
// placed, the rest of the group is skipped.
func (s *Scheduler) placePending(p *plan) {
	groups := s.rankGroups(p.now)
	for p.remaining() > 0 {
		g := s.next(p.now, groups)
		if g == nil {
			return
		}
		g.verdict = s.place(p, g.jobs[0])
		if g.verdict.endsGroup() || len(g.jobs) == 0 {
			groups.dropFirst()
		}
	}
}

// place starts the job if it is allowed to start and fits.
func (s *Scheduler) place(p *plan, j *pending) verdict {
	q := s.request(p.now, j)
	if !s.teams.allows(j.spec.Team, q.size) {
		return overQuota
	}
	if p.refusals[j.spec.Class] >= maxRefused && s.tolerance(p.now, &q) < maxTolerance {
		return wouldInterfere
	}
	if s.unfit.knownUnfit(&q) {
		return s.preempt(p, j, &q)
	}
	candidates := s.feasible(&q)
	if len(candidates) == 0 {
		s.unfit.add(&q)
		return s.preempt(p, j, &q)
	}
	n, impact := s.best(&q, candidates)
	reason := startReason(&q)
	if impact > s.tolerance(p.now, &q) {
		if n = s.explore(p.now, &q, candidates); n == nil {
			return p.refuse(j.spec.Class)
		}
		reason = "learns who is slowed"
	}
	s.start(p, j, &q, n, reason)
	return placed
}

// request returns the request of a pending job with current estimates.
func (s *Scheduler) request(now time.Time, j *pending) request {
	return request{
		spec:          j.spec,
		size:          s.estimator.Size(j.spec),
		headroomShare: s.headroomShare(now, j.spec),
		avoid:         j.avoid,
		dueSoon:       j.isDueSoon(now),
		nominated:     j.nominated,
		reserved:      j.held,

		maxConsolidated: s.maxConsolidated(j.spec),
	}
}

// start reserves the job's resources and adds its start to the plan.
func (s *Scheduler) start(p *plan, j *pending, q *request, n *node, reason string) {
	s.dequeue(j)
	r := &run{spec: j.spec, size: q.size, cpuLimit: fullCPU, started: p.now}
	r.resumed = s.history.evictions(j.spec.ID) > 0
	s.occupy(r, n)
	p.add(Action{
		Kind:      Start,
		Job:       j.spec.ID,
		Host:      n.host.Name,
		Resources: q.size,
		Reason:    reason,
	})
}

func startReason(q *request) string {
	switch {
	case q.spec.Urgent:
		return "urgent"
	case q.spec.QoS == task.LatencyCritical:
		return "spread over racks"
	default:
		return "packed"
	}
}
