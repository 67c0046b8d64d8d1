package placement

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// nominationLimit is how long an urgent job waits for its victims before it
// looks elsewhere.
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

// dropNomination gives up what is held for a job, if anything.
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

// dropNominations gives up everything held on a node.
func (s *Scheduler) dropNominations(n *node) {
	for len(n.nominees) > 0 {
		s.dropNomination(n.nominees[0])
	}
}

// expireNominations lets urgent jobs look elsewhere whose victims do not go.
func (s *Scheduler) expireNominations(now time.Time) {
	oldest := now.Add(-nominationLimit).UnixMilli()
	for len(s.nominees) > 0 && s.nominees[0].nominatedUnixMS < oldest {
		s.dropNomination(s.nominees[0])
	}
}

// without returns jobs without one of them, in the same order.
func without(jobs []*pending, j *pending) []*pending {
	at := slices.Index(jobs, j)
	if at < 0 {
		return jobs
	}
	return slices.Delete(jobs, at, at+1)
}
