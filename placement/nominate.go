package placement

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// nominationLimit is how long an urgent job waits for its victims to be
// released.
const nominationLimit = 30 * time.Second

// nominate holds size on n for a job until its victims are released.
func (s *Scheduler) nominate(now time.Time, j *pending, n *node, size infra.Resources) {
	s.queue.remove(j)
	j.nominated, j.held = n, size
	j.nominatedUnixMS = now.UnixMilli()
	n.held = n.held.Add(size)
	n.nominees = append(n.nominees, j)
	s.nominees = append(s.nominees, j)
	s.queue.add(j)
	s.index.update(n)
}

// dropNomination releases what is held for a job, if anything.
func (s *Scheduler) dropNomination(j *pending) {
	n := j.nominated
	if n == nil {
		return
	}
	n.held = n.held.Sub(j.held)
	n.nominees = without(n.nominees, j)
	s.nominees = without(s.nominees, j)
	s.queue.remove(j)
	j.nominated, j.held = nil, infra.Resources{}
	s.queue.add(j)
	s.refresh(n)
}

// dropNominations releases everything that is held on a node.
func (s *Scheduler) dropNominations(n *node) {
	for len(n.nominees) > 0 {
		s.dropNomination(n.nominees[0])
	}
}

// expireNominations drops the nominations of jobs whose victims weren't
// released within nominationLimit.
func (s *Scheduler) expireNominations(now time.Time) {
	oldest := now.Add(-nominationLimit).UnixMilli()
	for len(s.nominees) > 0 && s.nominees[0].nominatedUnixMS < oldest {
		s.dropNomination(s.nominees[0])
	}
}

// without returns jobs without j, in the same order.
func without(jobs []*pending, j *pending) []*pending {
	at := slices.Index(jobs, j)
	if at < 0 {
		return jobs
	}
	return slices.Delete(jobs, at, at+1)
}
