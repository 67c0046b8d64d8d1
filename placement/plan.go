package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/task"
)

// Plan returns at most limit actions for now: relief for latency-critical
// work that misses its objective, hosts drained ahead of an event, then starts
// in the order of rank with evictions for urgent work that fits nowhere.
func (s *Scheduler) Plan(now time.Time, limit int) []Action {
	s.now = now
	p := &plan{now: now, limit: limit}
	s.expireNominations(now)
	s.updateWindows(now)
	s.relieve(p)
	s.drain(p)
	s.placePending(p)
	s.gather(p)
	return p.actions
}

// plan is one plan in the making.
type plan struct {
	now     time.Time
	limit   int
	actions []Action
	// refused counts by class the jobs refused for the harm they would do.
	refused map[string]int
}

// maxRefused is how many jobs of a class are refused for harm before the rest
// of the class waits for the next plan, so that a long queue of them costs
// little.
const maxRefused = 8

// refuse counts a job refused for harm.
func (p *plan) refuse(class string) verdict {
	if p.refused == nil {
		p.refused = map[string]int{}
	}
	p.refused[class]++
	return wouldHarm
}

// room is how many more actions the plan takes.
func (p *plan) room() int { return p.limit - len(p.actions) }

func (p *plan) add(a Action) { p.actions = append(p.actions, a) }

// placePending tries groups by rank. A group whose first job is not placed
// has its turn over, since the others are like it.
func (s *Scheduler) placePending(p *plan) {
	t := s.newTurns(p.now)
	for p.room() > 0 {
		g := s.next(p.now, t)
		if g == nil {
			return
		}
		g.verdict = s.place(p, g.jobs[0])
		if g.verdict.endsTurn() || len(g.jobs) == 0 {
			t.drop()
		}
	}
}

// place starts the job if it may and fits.
func (s *Scheduler) place(p *plan, j *pending) verdict {
	q := s.request(p.now, j)
	if !s.teams.allows(j.spec.Team, q.size) {
		return overQuota
	}
	if p.refused[j.spec.Class] >= maxRefused && s.tolerance(p.now, &q) < maxTolerance {
		return wouldHarm
	}
	if s.unfit.knownUnfit(&q) {
		return s.preempt(p, j, &q)
	}
	candidates := s.feasible(&q)
	if len(candidates) == 0 {
		s.unfit.add(&q)
		return s.preempt(p, j, &q)
	}
	n, harm := s.best(&q, candidates)
	reason := startReason(&q)
	if harm > s.tolerance(p.now, &q) {
		if n = s.explore(p.now, &q, candidates); n == nil {
			return p.refuse(j.spec.Class)
		}
		reason = "learns who is slowed"
	}
	s.start(p, j, &q, n, reason)
	return placed
}

// request sizes a pending job by what is known now.
func (s *Scheduler) request(now time.Time, j *pending) request {
	return request{
		spec:      j.spec,
		size:      s.sizes.Size(j.spec),
		reserve:   s.reserve(now, j.spec),
		avoid:     j.avoid,
		due:       j.pressed(now),
		nominated: j.nominated,
		own:       j.held,

		mostGathered: s.mostGathered(j.spec),
	}
}

// start reserves and asks for the job's start.
func (s *Scheduler) start(p *plan, j *pending, q *request, n *node, reason string) {
	s.unqueue(j)
	r := &run{spec: j.spec, size: q.size, percent: fullSpeed, started: p.now}
	r.resumed = s.past.evictions(j.spec.ID) > 0
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
