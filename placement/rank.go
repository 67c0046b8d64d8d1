package placement

import (
	"container/heap"
	"time"
)

// dueWindow is how little slack a job with a due time must have to go before
// fair sharing; with more it waits its turn.
const dueWindow = time.Hour

// tier is the first thing that pending groups are ordered by.
type tier uint8

const (
	tierUrgent tier = iota
	tierDue
	tierFair
)

// rank orders groups: by tier, then urgent by submission, due by latest
// start, and the rest by their team's share, then submission.
type rank struct {
	tier      tier
	key       float64
	submitted int64
	id        string
}

func (a rank) before(b rank) bool {
	switch {
	case a.tier != b.tier:
		return a.tier < b.tier
	case a.key != b.key:
		return a.key < b.key
	case a.submitted != b.submitted:
		return a.submitted < b.submitted
	default:
		return a.id < b.id
	}
}

// rankOf ranks a group by its first job.
func (s *Scheduler) rankOf(now time.Time, g *group) rank {
	head := g.jobs[0]
	r := rank{tier: tierFair, submitted: head.spec.SubmittedUnixMS, id: head.spec.ID}
	switch {
	case g.key.urgent:
		r.tier = tierUrgent
	case head.pressed(now):
		r.tier = tierDue
		r.key = float64(head.latestStart)
	default:
		r.key = s.teams.share(g.key.team, s.capacity)
	}
	return r
}

// turns is a heap of the groups that are still to be tried in one plan.
type turns []*group

// Len implements heap.Interface.
func (t turns) Len() int { return len(t) }

// Less implements heap.Interface.
func (t turns) Less(i, j int) bool { return t[i].rank.before(t[j].rank) }

// Swap implements heap.Interface.
func (t turns) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *turns) Push(x any) { *t = append(*t, x.(*group)) }

// Pop implements heap.Interface.
func (t *turns) Pop() any {
	last := len(*t) - 1
	g := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	return g
}

// drop takes out the first group, whose turn is over.
func (t *turns) drop() { heap.Pop(t) }

// newTurns ranks every group. It reuses the last plan's memory.
func (s *Scheduler) newTurns(now time.Time) *turns {
	s.turns = s.turns[:0]
	for _, g := range s.queue.groups {
		g.rank = s.rankOf(now, g)
		s.turns = append(s.turns, g)
	}
	heap.Init(&s.turns)
	return &s.turns
}

// next returns the first group by rank, ranked anew since ranks only fall
// back while a plan is made; nil when none is left.
func (s *Scheduler) next(now time.Time, t *turns) *group {
	for len(*t) > 0 {
		g := (*t)[0]
		fresh := s.rankOf(now, g)
		if fresh == g.rank {
			return g
		}
		g.rank = fresh
		heap.Fix(t, 0)
	}
	return nil
}
